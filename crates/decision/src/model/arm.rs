//! The two arms that a release is analysed by: the earlier builds and the canary.
use std::ops::{Index, IndexMut};

/// An arm of a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arm {
    /// The earlier builds.
    Baseline,
    /// The build that is being rolled out.
    Canary,
}

impl Arm {
    pub(crate) fn other(self) -> Arm {
        match self {
            Arm::Baseline => Arm::Canary,
            Arm::Canary => Arm::Baseline,
        }
    }
}

/// One value for each arm.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PerArm<T> {
    pub(crate) baseline: T,
    pub(crate) canary: T,
}

impl<T> PerArm<T> {
    /// Computes the value of each arm, the baseline first.
    pub(crate) fn from_fn(mut value: impl FnMut(Arm) -> T) -> Self {
        let baseline = value(Arm::Baseline);
        let canary = value(Arm::Canary);
        PerArm { baseline, canary }
    }

    /// Both values, the baseline's first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &T> {
        [&self.baseline, &self.canary].into_iter()
    }
}

impl<T> Index<Arm> for PerArm<T> {
    type Output = T;

    fn index(&self, arm: Arm) -> &T {
        match arm {
            Arm::Baseline => &self.baseline,
            Arm::Canary => &self.canary,
        }
    }
}

impl<T> IndexMut<Arm> for PerArm<T> {
    fn index_mut(&mut self, arm: Arm) -> &mut T {
        match arm {
            Arm::Baseline => &mut self.baseline,
            Arm::Canary => &mut self.canary,
        }
    }
}
