//! The endpoints that a request can be sent to, as computed by the last refresh.
use crate::model::{EndpointId, PerArm};

/// An endpoint that a request may be sent to.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) endpoint: EndpointId,
    /// Relative probability that load balancing draws it; not normalised.
    pub(crate) selection_weight: f64,
    /// Rank in the subset by distance from the agent on the hash ring, from 0; `None` outside the subset.
    pub(crate) subset_rank: Option<usize>,
}

/// The endpoints that requests may be sent to, and the canary's share of them.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    pub(crate) by_arm: PerArm<Vec<Candidate>>,
    /// Listed weight of each arm: of permitted endpoints that are not excluded, scaled by how far each has warmed up.
    pub(crate) listed_weight: PerArm<f64>,
    /// The canary's share of the listed weight, 0 to 1; 0 while the canary has the longer queue for its weight.
    pub(crate) canary_share: f64,
    /// Panic mode: so many endpoints are ejected that ejections are ignored.
    pub(crate) is_panic: bool,
}

/// How many members of the subset lie on each side of the agent's position on the hash ring.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SubsetExtent {
    pub(crate) before: usize,
    pub(crate) after: usize,
}

/// The subset of a long endpoint list that the agent sends requests to.
#[derive(Debug)]
pub(crate) struct Subset {
    /// Wanted number of members of each arm that can take a request.
    pub(crate) target_size: f64,
    pub(crate) extent: PerArm<SubsetExtent>,
    /// Whether at least half of `target_size` members, of both arms together, can serve.
    pub(crate) is_sufficient: bool,
    /// Endpoints that are no longer members and may still have an open connection.
    pub(crate) removed: Vec<EndpointId>,
}

impl Subset {
    /// Creates an empty subset with this wanted number of members per arm.
    pub(crate) fn new(target_size: f64) -> Self {
        Subset {
            target_size,
            extent: PerArm::default(),
            is_sufficient: false,
            removed: Vec::new(),
        }
    }
}
