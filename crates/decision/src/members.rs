//! The part of one arm's ring around an agent's own place: which appliances its subset has, and where its
//! homes begin. How many it is to have is decided in `brain.rs`; the order is that of [`crate::subset`].
use crate::catalog::{Catalog, Pool, rank_in};
use crate::model::{Build, EndpointId, FleetPosition, Zone};
use crate::subset::{Position, Side, nearest};

/// A segment of the ring.
pub(crate) struct Segment {
    /// Its appliances, in the order of the ring.
    pub(crate) members: Vec<EndpointId>,
    /// How many of them stand before the agent's own place, and how many after.
    pub(crate) reach: [usize; 2],
    /// How many of them can serve now.
    pub(crate) serving: usize,
    /// How many appliances the arm has in all.
    count: usize,
    /// The rank among the members at which the agent's place among all appliances lies, counted by ranks.
    own: f64,
}

impl Segment {
    /// Takes the nearest appliances `of` an arm on each side of the agent's place: at least so many, and on
    /// until it is `enough` by how many were taken and how many of these `serve`. An arm of up to
    /// `whole_up_to` is taken whole.
    pub(crate) fn new(
        listed: &Catalog,
        fleet_position: FleetPosition,
        of: impl Fn(Build, Zone) -> bool,
        whole_up_to: usize,
        least: [usize; 2],
        serves: impl Fn(EndpointId) -> bool,
        enough: impl Fn(usize, usize) -> bool,
    ) -> Self {
        let pools: Vec<&Pool> = listed
            .pools()
            .filter(|(build, zone, _)| of(*build, *zone))
            .map(|(.., pool)| pool)
            .collect();
        let place = Position::of_agent(fleet_position.own_id, fleet_position.agent_count);
        let count = pools.iter().map(|pool| pool.ring().len()).sum::<usize>();
        let whole = count <= whole_up_to;
        let take = |side, limit, least| {
            let ring = nearest(pools.iter().map(|pool| pool.ring()), place, side).take(limit);
            listed.take_until(ring, least, &serves, &enough)
        };
        let ((before, serve_before), (after, serve_after)) = if whole {
            ((Vec::new(), 0), take(Side::After, count, count))
        } else {
            (
                take(Side::Before, count / 2, least[0]),
                take(Side::After, count.div_ceil(2), least[1]),
            )
        };
        let turn =
            f64::from(fleet_position.own_id.0) / f64::from(fleet_position.agent_count.max(1));
        let off = turn * count as f64 - rank_in(pools.iter().copied(), place) as f64;
        let (reach, own) = ([before.len(), after.len()], before.len() as f64 + off);
        let serving = serve_before + serve_after;
        let members = before.into_iter().rev().chain(after).collect();
        Segment {
            members,
            reach,
            serving,
            count,
            own,
        }
    }

    /// The rank at which so many homes begin: at the agent's own, as far as the segment holds them.
    pub(crate) fn rank_of_own(&self, homes: f64) -> usize {
        let many = self.members.len() as f64;
        if self.members.len() == self.count {
            return self.own.rem_euclid(many.max(1.0)).ceil() as usize;
        }
        self.own.min(many - homes).max(0.0).ceil() as usize
    }
}
