//! Subsetting: which endpoints of a long list an agent works with. Of each arm it takes a segment of the
//! consistent-hashing ring around its own position, and mostly uses a few of these endpoints, its assigned ones.
use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

use super::exposure::Exposure;
use super::load_balancing::EndpointSelection;
use super::outlier_ejection::MAX_EJECTION_TIME;
use super::slow_start::SlowStart;
use crate::model::{Arm, Build, Endpoint, EndpointId, FleetPosition, PerArm, Zone};
use crate::state::candidates::{Candidates, Subset, SubsetExtent};
use crate::state::endpoint_catalog::{EndpointCatalog, WalkedEndpoints};
use crate::state::endpoint_pool::{EndpointPool, rank_in};
use crate::state::endpoint_record::EndpointRecord;
use crate::state::endpoint_table::EndpointTable;
use crate::state::half_lives::RECENT_HALF_LIFE;
use crate::state::hash_ring::{Position, Side, nearest};
use crate::state::load_estimate::LoadEstimate;
use crate::state::pending_requests::PendingRequest;

/// Assigned endpoints of an arm for an agent with hardly a request outstanding: enough to choose between them and to
/// lose some.
const MIN_ASSIGNED_ENDPOINTS: f64 = 8.0;
/// Smallest size of the subset of an arm that has more endpoints than this; larger sizes are this times a power of two.
/// The cost of each walk over the subset grows with its size. This one is large enough for the assigned endpoints of a
/// usual agent: they lie around its rank among all endpoints, which may be some way off its position on the ring.
pub(crate) const MIN_SUBSET_SIZE: f64 = 20.0 * MIN_ASSIGNED_ENDPOINTS;
/// The subset grows while it is smaller than this many times the assigned endpoints, so that it can lose some.
const MIN_SIZE_PER_ASSIGNED: f64 = 2.0;
/// The subset shrinks while it is larger than this many times the assigned endpoints. The gap to
/// [`MIN_SIZE_PER_ASSIGNED`] keeps its size from swinging.
const MAX_SIZE_PER_ASSIGNED: f64 = 5.0;
/// Where hardly any endpoint can serve, the subset takes at most this many times its target size.
const MAX_WALK_MULTIPLE: usize = 4;
/// At each refresh a side of the segment keeps at least this many sixteenths of its members, less one.
const MIN_KEPT_SIXTEENTHS: usize = 15;

/// How many endpoints of an arm an agent mostly uses: the more it has outstanding, the more. Guards against many
/// connections that carry only a request or two each. The load is less even where a few agents send most requests.
pub(crate) fn assigned_count(load: &LoadEstimate) -> f64 {
    MIN_ASSIGNED_ENDPOINTS * (1.0 + load.mean_outstanding())
}

/// Which endpoints belong to a segment of the ring, and how far it extends.
struct SegmentCriteria<Includes, CanServe, IsEnough> {
    /// Whether endpoints of a build and zone belong to the arm.
    includes: Includes,
    /// Whether an endpoint can take a request now.
    can_serve: CanServe,
    /// Whether a side is complete, by the number of endpoints taken and by how many of them can serve.
    is_enough: IsEnough,
    /// An arm of up to this many endpoints is taken whole.
    max_size_taken_whole: usize,
    /// The least number of members to take on each side.
    minimum: SubsetExtent,
}

/// The part of one arm's ring around the agent's own position.
struct Segment {
    /// The endpoints of the segment, in the order of the ring.
    members: Vec<EndpointId>,
    extent: SubsetExtent,
    /// How many of the members can serve now.
    serving_count: usize,
    /// Number of ready endpoints of the arm in the whole list.
    arm_size: usize,
    /// The agent's own rank, relative to the first member: agents divide the ranks of the arm evenly, whereas the
    /// positions of endpoints on the ring are spread at random. May lie outside of the segment.
    own_rank: f64,
}

impl Segment {
    /// Takes the nearest endpoints on each side of the agent's position.
    fn new(
        catalog: &EndpointCatalog,
        fleet_position: FleetPosition,
        criteria: SegmentCriteria<
            impl Fn(Build, Zone) -> bool,
            impl Fn(EndpointId) -> bool,
            impl Fn(usize, usize) -> bool,
        >,
    ) -> Self {
        let pools: Vec<&EndpointPool> = catalog
            .pools()
            .filter(|(build, zone, _)| (criteria.includes)(*build, *zone))
            .map(|(.., pool)| pool)
            .collect();
        let own_position = Position::of_agent(fleet_position);
        let arm_size = pools.iter().map(|pool| pool.ring().len()).sum::<usize>();
        let take = |side, limit, minimum| {
            let ring =
                nearest(pools.iter().map(|pool| pool.ring()), own_position, side).take(limit);
            catalog.take_until(ring, minimum, &criteria.can_serve, &criteria.is_enough)
        };
        let (before, after) = if arm_size <= criteria.max_size_taken_whole {
            let whole = take(Side::After, arm_size, arm_size);
            (WalkedEndpoints::default(), whole)
        } else {
            let before = take(Side::Before, arm_size / 2, criteria.minimum.before);
            let after = take(Side::After, arm_size.div_ceil(2), criteria.minimum.after);
            (before, after)
        };
        let agent_count = f64::from(fleet_position.agent_count.max(1));
        let fraction = f64::from(fleet_position.own_id.0) / agent_count;
        let offset =
            fraction * arm_size as f64 - rank_in(pools.iter().copied(), own_position) as f64;
        Segment {
            extent: SubsetExtent {
                before: before.ids.len(),
                after: after.ids.len(),
            },
            serving_count: before.serving_count + after.serving_count,
            arm_size,
            own_rank: before.ids.len() as f64 + offset,
            members: before.ids.into_iter().rev().chain(after.ids).collect(),
        }
    }

    /// The rank among the members at which the assigned endpoints begin: the agent's own, moved as far as needed for
    /// the segment to hold them all.
    fn first_assigned_rank(&self, assigned_count: f64) -> usize {
        let count = self.members.len() as f64;
        if self.members.len() == self.arm_size {
            return self.own_rank.rem_euclid(count.max(1.0)).ceil() as usize;
        }
        self.own_rank.min(count - assigned_count).max(0.0).ceil() as usize
    }
}

/// What the choice of the subset depends on.
#[derive(Clone, Copy)]
pub(crate) struct SubsetSelection<'a> {
    pub(crate) now: Duration,
    pub(crate) fleet_position: FleetPosition,
    pub(crate) slow_start: &'a SlowStart,
    pub(crate) exposure: &'a Exposure,
    pub(crate) assigned_count: f64,
}

impl SubsetSelection<'_> {
    /// Chooses the subset of a long list. Returns the rank of each arm at which the assigned endpoints begin: the
    /// agent's own rank among all endpoints, by which agents divide them evenly. On each side of the agent's position
    /// on the ring the subset extends until endpoints that can serve make up half of the target size, so that it widens
    /// at the next refresh when members fail. It narrows by at most a sixteenth at each refresh, so that little moves
    /// when many endpoints recover at once.
    pub(crate) fn choose(
        &self,
        subset: &mut Subset,
        endpoints: &mut EndpointTable,
    ) -> PerArm<usize> {
        self.resize(subset);
        let half_target_size = (subset.target_size / 2.0) as usize;
        let segments = PerArm::from_fn(|arm| {
            self.segment(arm, half_target_size, subset.extent[arm], endpoints)
        });
        subset.extent = PerArm::from_fn(|arm| segments[arm].extent);
        let serving_count: usize = segments.iter().map(|segment| segment.serving_count).sum();
        subset.is_sufficient = serving_count >= half_target_size;
        let members = PerArm::from_fn(|arm| segments[arm].members.as_slice());
        subset.removed = endpoints.set_members(members, |record| self.keeps_record(record));
        PerArm::from_fn(|arm| segments[arm].first_assigned_rank(self.assigned_count))
    }

    /// Doubles or halves the target size of the subset where it does not fit the number of assigned endpoints.
    fn resize(&self, subset: &mut Subset) {
        // An agent that has just started does not know its request rate yet, so its subset does not grow.
        let is_known = self
            .exposure
            .windows
            .started_at
            .is_some_and(|started| started + RECENT_HALF_LIFE <= self.now);
        let assigned = self.assigned_count;
        if is_known && subset.target_size < MIN_SIZE_PER_ASSIGNED * assigned {
            subset.target_size *= 2.0;
        } else if subset.target_size > f64::max(MIN_SUBSET_SIZE, MAX_SIZE_PER_ASSIGNED * assigned) {
            subset.target_size /= 2.0;
        }
    }

    /// Takes the segment of an arm, which is to have `half_target_size` endpoints that can serve on each side. `extent`
    /// is its extent at the last refresh.
    fn segment(
        &self,
        arm: Arm,
        half_target_size: usize,
        extent: SubsetExtent,
        endpoints: &EndpointTable,
    ) -> Segment {
        let catalog = &endpoints.catalog;
        let has_warmed_up =
            |endpoint: &Endpoint| self.slow_start.capacity_share(endpoint.age(self.now)) >= 1.0;
        let narrowed = |extent: usize| (extent * MIN_KEPT_SIXTEENTHS / 16).max(1) - 1;
        Segment::new(
            catalog,
            self.fleet_position,
            SegmentCriteria {
                includes: |build, zone| {
                    self.exposure.arm(build) == arm
                        && self.exposure.operator_permits_any(build, zone)
                },
                can_serve: |id| {
                    !endpoints.is_ejected(id) && catalog.get(id).is_some_and(has_warmed_up)
                },
                // Where hardly any endpoint can serve, the whole list is not searched here: `add_from_outside` looks
                // for others for a request that needs one.
                is_enough: |taken, serving_count| {
                    serving_count >= half_target_size
                        || taken >= MAX_WALK_MULTIPLE * half_target_size
                },
                max_size_taken_whole: 2 * half_target_size,
                minimum: SubsetExtent {
                    before: narrowed(extent.before),
                    after: narrowed(extent.after),
                },
            },
        )
    }

    /// Whether an endpoint outside the subset keeps its record, with its health and its ejection: it has outstanding
    /// attempts, or work in the slow-start window, or was in use or ejected within the longest ejection time.
    fn keeps_record(&self, record: &EndpointRecord) -> bool {
        let health = &record.health;
        let last_used = health.ejected_until.max(health.last_response);
        let window = self.slow_start.settings.overload_window;
        !record.outstanding.is_empty()
            || last_used + MAX_EJECTION_TIME > self.now
            || record.sent_work(self.now, window) > 0.0
    }
}

/// What the search for endpoints outside the subset depends on.
pub(crate) struct OutsideSearch<'a> {
    pub(crate) now: Duration,
    pub(crate) candidates: &'a Candidates,
    pub(crate) slow_start: &'a SlowStart,
    pub(crate) exposure: &'a Exposure,
}

/// Finds a few endpoints outside the subset for a request that no endpoint of the subset can take, and adds records for
/// them, which they keep while they are used. The search begins at a random position on the ring, or in the cell to
/// which the request is confined.
pub(crate) fn add_from_outside(
    endpoints: &mut EndpointTable,
    request: &PendingRequest,
    search: OutsideSearch<'_>,
    random: &mut Pcg64Mcg,
) -> Vec<Endpoint> {
    let OutsideSearch {
        now,
        candidates,
        slow_start,
        exposure,
    } = search;
    let permits = |build, zone| exposure.permits(build, zone, request);
    let from = Position(random.random());
    let found = endpoints.find_outside_subset(
        request.routing_constraint(),
        from,
        MIN_ASSIGNED_ENDPOINTS as usize,
        permits,
    );
    for endpoint in &found {
        let arm = exposure.arm(endpoint.build);
        let arm_share = match arm {
            Arm::Baseline => 1.0,
            Arm::Canary => candidates.canary_share,
        };
        let weight =
            arm_share * f64::from(endpoint.weight) * slow_start.capacity_share(endpoint.age(now));
        let traffic_share = weight / candidates.listed_weight[arm].max(1e-9);
        endpoints.records.entry(endpoint.id).or_insert_with(|| {
            let mut record = EndpointRecord::new(*endpoint, None);
            record.traffic_share = traffic_share;
            record
        });
    }
    found
}

/// Draws one of the endpoints found outside the subset that the request may go to and has not been sent to.
pub(crate) fn draw_from_outside(
    selection: &EndpointSelection<'_>,
    found: &[Endpoint],
    request: &PendingRequest,
    random: &mut Pcg64Mcg,
) -> Option<EndpointId> {
    let permitted: Vec<EndpointId> = found
        .iter()
        .map(|endpoint| endpoint.id)
        .filter(|id| !request.was_sent_to(*id))
        .filter(|id| selection.permits(request, *id))
        .collect();
    permitted.choose(random).copied()
}
