//! The order in which an agent takes appliances into its subset, as pure functions. Appliances stand on a
//! ring of 2^32 positions by a hash of their number, agents at even distances from each other. One appliance
//! more or less moves only itself and the last one of each subset that it lies in (consistent hashing).
use crate::model::{AgentId, EndpointId};

/// A place on the ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position(pub(crate) u32);

/// Which way along the ring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    Before,
    After,
}

impl Position {
    /// Where an appliance stands: its number, mixed by the finalizer of MurmurHash3, which maps no two to
    /// one.
    pub(crate) fn of_appliance(id: EndpointId) -> Self {
        let mut mixed = id.0;
        mixed = (mixed ^ (mixed >> 16)).wrapping_mul(0x85eb_ca6b);
        mixed = (mixed ^ (mixed >> 13)).wrapping_mul(0xc2b2_ae35);
        Position(mixed ^ (mixed >> 16))
    }

    /// Where an agent stands: agents share the ring evenly.
    pub(crate) fn of_agent(own_id: AgentId, agent_count: u32) -> Self {
        let part = (u64::from(own_id.0) << 32) / u64::from(agent_count.max(1));
        Position(part as u32)
    }

    /// The distance from here to there on one side; what stands here counts as after.
    fn distance(self, there: Position, side: Side) -> u32 {
        match side {
            Side::After => there.0.wrapping_sub(self.0),
            Side::Before => self.0.wrapping_sub(there.0).wrapping_sub(1),
        }
    }
}

/// Appliances in the order of their positions.
pub(crate) type Ring = [(Position, EndpointId)];

/// All appliances of several rings as one, by their distance from a place on one side.
pub(crate) fn nearest<'a>(
    rings: impl Iterator<Item = &'a Ring>,
    from: Position,
    side: Side,
) -> impl Iterator<Item = EndpointId> {
    let mut rings: Vec<_> = rings
        .map(|ring| one_round(ring, from, side).peekable())
        .collect();
    std::iter::from_fn(move || {
        let heads = rings.iter_mut().enumerate();
        let heads =
            heads.filter_map(|(i, ring)| ring.peek().map(|(at, _)| (from.distance(*at, side), i)));
        let (_, nearest) = heads.min()?;
        rings[nearest].next().map(|(_, id)| id)
    })
}

/// How many appliances of a ring stand before a place, counted from position 0.
pub(crate) fn rank(ring: &Ring, place: Position) -> usize {
    ring.partition_point(|(at, _)| *at < place)
}

/// One ring from a place on, once round.
fn one_round(
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
