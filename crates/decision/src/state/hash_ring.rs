//! A consistent-hashing ring of 2^32 positions. Endpoints stand at a hash of their number, agents at even
//! distances from each other. One endpoint more or less moves only itself and the last member of each subset
//! that it lies in.
use crate::model::{AgentId, EndpointId, FleetPosition};

/// A place on the ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position(pub(crate) u32);

/// A direction along the ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    Before,
    After,
}

impl Position {
    /// Where an endpoint stands: its number, mixed by the finalizer of MurmurHash3, which maps no two numbers to
    /// one position.
    pub(crate) fn of_endpoint(id: EndpointId) -> Self {
        let mut mixed = id.0;
        mixed = (mixed ^ (mixed >> 16)).wrapping_mul(0x85eb_ca6b);
        mixed = (mixed ^ (mixed >> 13)).wrapping_mul(0xc2b2_ae35);
        Position(mixed ^ (mixed >> 16))
    }

    /// Where an agent stands: agents share the ring evenly.
    pub(crate) fn of_agent(fleet_position: FleetPosition) -> Self {
        let AgentId(number) = fleet_position.own_id;
        let agent_count = u64::from(fleet_position.agent_count.max(1));
        Position(((u64::from(number) << 32) / agent_count) as u32)
    }

    /// The distance from here to there on one side; an endpoint at this very position counts as after it.
    fn distance(self, there: Position, side: Side) -> u32 {
        match side {
            Side::After => there.0.wrapping_sub(self.0),
            Side::Before => self.0.wrapping_sub(there.0).wrapping_sub(1),
        }
    }
}

/// Endpoints in the order of their positions.
pub(crate) type Ring = [(Position, EndpointId)];

/// All endpoints of several rings as one, by their distance from a position on one side.
pub(crate) fn nearest<'a>(
    rings: impl Iterator<Item = &'a Ring>,
    from: Position,
    side: Side,
) -> impl Iterator<Item = EndpointId> {
    let mut rings: Vec<_> = rings
        .map(|ring| full_turn(ring, from, side).peekable())
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

/// How many endpoints of a ring stand before a position, counted from position 0.
pub(crate) fn rank(ring: &Ring, position: Position) -> usize {
    ring.partition_point(|(other, _)| *other < position)
}

/// One ring from a position on, a full turn.
fn full_turn(
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
