//! A consistent-hashing ring of 2^32 positions. The position of an endpoint is a hash of its id; agents are spaced
//! evenly. An endpoint that is added or removed changes each subset around it by itself and one other member, the
//! farthest.
use crate::model::{AgentId, EndpointId, FleetPosition};

/// A position on the ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position(pub(crate) u32);

/// A direction along the ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    Before,
    After,
}

impl Position {
    /// Position of an endpoint: its id, hashed by the finalizer of MurmurHash3, which maps no two ids to the same
    /// position.
    pub(crate) fn of_endpoint(id: EndpointId) -> Self {
        let mut mixed = id.0;
        mixed = (mixed ^ (mixed >> 16)).wrapping_mul(0x85eb_ca6b);
        mixed = (mixed ^ (mixed >> 13)).wrapping_mul(0xc2b2_ae35);
        Position(mixed ^ (mixed >> 16))
    }

    /// Position of an agent: agents are spaced evenly around the ring.
    pub(crate) fn of_agent(fleet_position: FleetPosition) -> Self {
        let AgentId(number) = fleet_position.own_id;
        let agent_count = u64::from(fleet_position.agent_count.max(1));
        Position(((u64::from(number) << 32) / agent_count) as u32)
    }

    /// Distance to another position in one direction. An endpoint at this very position counts as after it.
    fn distance(self, other: Position, side: Side) -> u32 {
        match side {
            Side::After => other.0.wrapping_sub(self.0),
            Side::Before => self.0.wrapping_sub(other.0).wrapping_sub(1),
        }
    }
}

/// Endpoints sorted by position.
pub(crate) type Ring = [(Position, EndpointId)];

/// Merges several rings: all their endpoints in one direction, by distance from a position.
pub(crate) fn nearest<'a>(
    rings: impl Iterator<Item = &'a Ring>,
    from: Position,
    side: Side,
) -> impl Iterator<Item = EndpointId> {
    let mut rings: Vec<_> = rings
        .map(|ring| walk_ring(ring, from, side).peekable())
        .collect();
    std::iter::from_fn(move || {
        let heads = rings.iter_mut().enumerate().filter_map(|(index, ring)| {
            ring.peek()
                .map(|(position, _)| (from.distance(*position, side), index))
        });
        let (_, nearest) = heads.min()?;
        rings[nearest].next().map(|(_, id)| id)
    })
}

/// Number of endpoints with a position lower than this one.
pub(crate) fn rank(ring: &Ring, position: Position) -> usize {
    ring.partition_point(|(other, _)| *other < position)
}

/// All endpoints of one ring in one direction, beginning next to a position.
fn walk_ring(
    ring: &Ring,
    from: Position,
    side: Side,
) -> impl Iterator<Item = (Position, EndpointId)> {
    let split = rank(ring, from);
    let count = ring.len();
    (0..count).map(move |i| match side {
        Side::After => ring[(split + i) % count],
        Side::Before => ring[(split + count - 1 - i) % count],
    })
}
