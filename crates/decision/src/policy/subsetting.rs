//! Subsetting: with which endpoints of a long list an agent works. It takes a part of each arm's ring around its
//! own place, and mostly uses a few of these, its assigned endpoints.
use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

use super::exposure::Exposure;
use super::load_balancing::EndpointSelection;
use super::outlier_ejection::MAX_EJECTION_TIME;
use super::slow_start::SlowStart;
use crate::model::{Arm, Build, Endpoint, EndpointId, FleetPosition, PerArm, Zone};
use crate::state::candidates::{Candidates, Reach, Subset};
use crate::state::endpoint_catalog::{EndpointCatalog, WalkedEndpoints};
use crate::state::endpoint_pool::{EndpointPool, rank_in};
use crate::state::endpoint_record::EndpointRecord;
use crate::state::endpoint_table::EndpointTable;
use crate::state::half_lives::RECENT;
use crate::state::hash_ring::{Position, Side, nearest};
use crate::state::load_estimate::LoadEstimate;
use crate::state::pending_requests::PendingRequest;

/// So many endpoints of an arm serve an agent with hardly a request outstanding: enough to choose and to lose
/// some.
const MIN_ASSIGNED: f64 = 8.0;
/// Of an arm with more endpoints an agent works with a subset of so many, or a power of two times as many: twice
/// its assigned ones at least, to lose some, and fewer again beyond five times, so that the size does not swing.
/// The cost of a walk follows it. Large enough for the assigned endpoints of a usual agent, whose place by rank
/// may lie some way off its place on the ring.
pub(crate) const MIN_SUBSET_SIZE: f64 = 20.0 * MIN_ASSIGNED;
/// The subset grows below, and shrinks above, so many times the assigned endpoints.
const MIN_SIZE_PER_ASSIGNED: f64 = 2.0;
const MAX_SIZE_PER_ASSIGNED: f64 = 5.0;
/// Where hardly any endpoint can serve, the subset takes at most so many times as many as it wants.
const MAX_WALK_FACTOR: usize = 4;
/// With each refresh a side keeps so many sixteenths of its members at least, less one.
const NARROWED_SIXTEENTHS: usize = 15;

/// How many endpoints of an arm an agent mostly uses, even over all agents: more, the more it has outstanding.
/// Guards against connections that carry a request or two; harms evenness where few agents request much.
pub(crate) fn assigned_count(load: &LoadEstimate) -> f64 {
    MIN_ASSIGNED * (1.0 + load.mean_outstanding())
}

/// How a segment is taken from the ring.
struct SegmentRequest<Includes, CanServe, Enough> {
    /// Whether endpoints of a build and zone belong to the arm.
    includes: Includes,
    can_serve: CanServe,
    /// Whether so many endpoints, of which so many can serve, are enough on one side.
    enough: Enough,
    /// An arm of up to so many endpoints is taken whole.
    max_whole: usize,
    minimum: Reach,
}

/// The part of one arm's ring around an agent's own place.
struct Segment {
    /// In the order of the ring.
    members: Vec<EndpointId>,
    reach: Reach,
    /// How many of the members can serve now.
    serving: usize,
    /// How many endpoints the arm has in all.
    arm_size: usize,
    /// The rank among the members at which the agent's place among all endpoints lies, counted by ranks.
    own_rank: f64,
}

impl Segment {
    /// Takes the nearest endpoints on each side of the agent's place.
    fn new(
        catalog: &EndpointCatalog,
        fleet_position: FleetPosition,
        request: SegmentRequest<
            impl Fn(Build, Zone) -> bool,
            impl Fn(EndpointId) -> bool,
            impl Fn(usize, usize) -> bool,
        >,
    ) -> Self {
        let pools: Vec<&EndpointPool> = catalog
            .pools()
            .filter(|(build, zone, _)| (request.includes)(*build, *zone))
            .map(|(.., pool)| pool)
            .collect();
        let place = Position::of_agent(fleet_position);
        let arm_size = pools.iter().map(|pool| pool.ring().len()).sum::<usize>();
        let take = |side, limit, minimum| {
            let ring = nearest(pools.iter().map(|pool| pool.ring()), place, side).take(limit);
            catalog.take_until(ring, minimum, &request.can_serve, &request.enough)
        };
        let (before, after) = if arm_size <= request.max_whole {
            let whole = take(Side::After, arm_size, arm_size);
            (WalkedEndpoints::default(), whole)
        } else {
            let before = take(Side::Before, arm_size / 2, request.minimum.before);
            let after = take(Side::After, arm_size.div_ceil(2), request.minimum.after);
            (before, after)
        };
        let agent_count = f64::from(fleet_position.agent_count.max(1));
        let fraction = f64::from(fleet_position.own_id.0) / agent_count;
        let offset = fraction * arm_size as f64 - rank_in(pools.iter().copied(), place) as f64;
        Segment {
            reach: Reach {
                before: before.ids.len(),
                after: after.ids.len(),
            },
            serving: before.serving + after.serving,
            arm_size,
            own_rank: before.ids.len() as f64 + offset,
            members: before.ids.into_iter().rev().chain(after.ids).collect(),
        }
    }

    /// The rank at which so many assigned endpoints begin: at the agent's own, as far as the segment holds them.
    fn first_assigned(&self, assigned_count: f64) -> usize {
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
    /// Chooses the subset, where the list is long; returns at which rank of each arm the assigned endpoints
    /// begin: at the agent's place among all by rank, which is even. On each side of its place on the ring it
    /// takes as many as hold half of the members that can serve now, so that what turns bad widens it with the
    /// next refresh. It narrows by a sixteenth a refresh: what comes back all at once moves little.
    pub(crate) fn choose(
        &self,
        subset: &mut Subset,
        endpoints: &mut EndpointTable,
    ) -> PerArm<usize> {
        self.resize(subset);
        let half = (subset.target_size / 2.0) as usize;
        let segments = PerArm::from_fn(|arm| self.segment(arm, half, subset.reach[arm], endpoints));
        subset.reach = PerArm::from_fn(|arm| segments[arm].reach);
        let serving: usize = segments.iter().map(|segment| segment.serving).sum();
        subset.is_full = serving >= half;
        let members = PerArm::from_fn(|arm| segments[arm].members.as_slice());
        subset.removed = endpoints.set_members(members, |record| self.is_kept(record));
        PerArm::from_fn(|arm| segments[arm].first_assigned(self.assigned_count))
    }

    fn resize(&self, subset: &mut Subset) {
        // An agent that has just come up does not know its request rate yet.
        let is_known = self
            .exposure
            .windows
            .started_at
            .is_some_and(|started| started + RECENT <= self.now);
        let assigned = self.assigned_count;
        if is_known && subset.target_size < MIN_SIZE_PER_ASSIGNED * assigned {
            subset.target_size *= 2.0;
        } else if subset.target_size > f64::max(MIN_SUBSET_SIZE, MAX_SIZE_PER_ASSIGNED * assigned) {
            subset.target_size /= 2.0;
        }
    }

    fn segment(&self, arm: Arm, half: usize, reach: Reach, endpoints: &EndpointTable) -> Segment {
        let catalog = &endpoints.catalog;
        let has_warmed_up =
            |endpoint: &Endpoint| self.slow_start.capacity_share(endpoint.age(self.now)) >= 1.0;
        let narrowed = |reach: usize| (reach * NARROWED_SIXTEENTHS / 16).max(1) - 1;
        Segment::new(
            catalog,
            self.fleet_position,
            SegmentRequest {
                includes: |build, zone| {
                    self.exposure.arm(build) == arm
                        && self.exposure.operator_permits_any(build, zone)
                },
                can_serve: |id| {
                    !endpoints.is_ejected(id) && catalog.get(id).is_some_and(has_warmed_up)
                },
                // Where hardly any can serve, others are not searched for all over the list: `add_outside`
                // does so for a request that needs it.
                enough: |taken, serving| serving >= half || taken >= MAX_WALK_FACTOR * half,
                max_whole: 2 * half,
                minimum: Reach {
                    before: narrowed(reach.before),
                    after: narrowed(reach.after),
                },
            },
        )
    }

    /// What was used of late keeps its record for as long as the longest ejection.
    fn is_kept(&self, record: &EndpointRecord) -> bool {
        let health = &record.health;
        let last_used = health.ejected_until.max(health.last_response);
        let window = self.slow_start.settings.overload_window;
        !record.outstanding.is_empty()
            || last_used + MAX_EJECTION_TIME > self.now
            || record.sent_work(self.now, window) > 0.0
    }
}

/// What the search outside the subset depends on.
pub(crate) struct OutsideRules<'a> {
    pub(crate) now: Duration,
    pub(crate) candidates: &'a Candidates,
    pub(crate) slow_start: &'a SlowStart,
    pub(crate) exposure: &'a Exposure,
}

/// Finds a few endpoints outside the subset for a request that none of it can take: from a random place on the
/// ring, or of the group to which it is confined. They keep a record for as long as they are used.
pub(crate) fn add_outside(
    endpoints: &mut EndpointTable,
    request: &PendingRequest,
    rules: OutsideRules<'_>,
    random: &mut Pcg64Mcg,
) -> Vec<Endpoint> {
    let OutsideRules {
        now,
        candidates,
        slow_start,
        exposure,
    } = rules;
    let permits = |build, zone| exposure.permits(build, zone, request);
    let from = Position(random.random());
    let found =
        endpoints.outside_subset(request.confinement(), from, MIN_ASSIGNED as usize, permits);
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

/// Draws one of the endpoints found outside the subset that accepts the request.
pub(crate) fn draw_outside(
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
