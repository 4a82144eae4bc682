//! The endpoints that requests choose from, as of the last refresh.
use crate::model::{EndpointId, PerArm};

/// An endpoint that a request may choose.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) endpoint: EndpointId,
    /// Its relative probability of being drawn.
    pub(crate) odds: f64,
    /// Its place in the subset.
    pub(crate) rank: Option<usize>,
}

/// The endpoints that requests choose from, and the canary's share.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    pub(crate) by_arm: PerArm<Vec<Candidate>>,
    /// Listed weight of each arm, as far as it is open and has warmed up.
    pub(crate) listed_weight: PerArm<f64>,
    /// The canary's share of the listed weight, 0 to 1.
    pub(crate) canary_share: f64,
    /// Panic mode: most endpoints are ejected, so ejections are ignored.
    pub(crate) is_panic: bool,
}

/// How many members of the subset lie on each side of the agent's place on the ring.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SubsetExtent {
    pub(crate) before: usize,
    pub(crate) after: usize,
}

/// The subset of a long endpoint list that the agent works with.
#[derive(Debug)]
pub(crate) struct Subset {
    /// How many members of each arm are wanted that can take a request.
    pub(crate) target_size: f64,
    pub(crate) extent: PerArm<SubsetExtent>,
    /// Whether it has as many members as it should.
    pub(crate) is_full: bool,
    /// Endpoints that have left it and may have an open connection.
    pub(crate) removed: Vec<EndpointId>,
}

impl Subset {
    /// An empty subset that is to have so many members of each arm.
    pub(crate) fn new(target_size: f64) -> Self {
        Subset {
            target_size,
            extent: PerArm::default(),
            is_full: false,
            removed: Vec::new(),
        }
    }
}
