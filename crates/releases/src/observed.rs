//! The rules and everything that was received so far, on which all decisions of the gate are based.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lilacgate_decision::{Build, ReleasePhase, Stage};

use crate::model::{DependencyCycle, Ladder, Rules, ServiceId};
use crate::service_status::{ReleaseStatus, ServiceStatus, UnknownReason};
use crate::stage_progress::{ReachedStage, StageProgress};

/// The status of a build of the agent's own service in relation to the newest announced build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BuildStanding {
    /// The build is earlier than the newest build; ladders and freezes no longer apply to it.
    Earlier,
    /// The build is the newest one and is released.
    Released,
    /// The build is the newest one and a canary, or it is not announced yet.
    Canary,
    /// The build is the newest one and is being rolled back or withdrawn.
    RollingBack,
}

impl BuildStanding {
    /// Whether the rules for canaries apply.
    pub(crate) fn is_unreleased(self) -> bool {
        matches!(self, BuildStanding::Canary | BuildStanding::RollingBack)
    }
}

/// A ladder with an index from pairs to rings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IndexedLadder<'a> {
    /// The ladder as the operator defined it.
    pub(crate) ladder: &'a Ladder,
    /// For each pair, the index of the first ring that contains it.
    pub(crate) first_rings: &'a [Option<u8>],
}

/// The rules and everything that was received.
#[derive(Clone, Debug)]
pub(crate) struct Observed {
    /// The operator's rules.
    pub(crate) rules: Rules,
    /// The indices of the dependencies, each after all dependencies that it depends on.
    pub(crate) dependency_order: Vec<usize>,
    /// For each ladder and each pair, the index of the first ring that contains the pair.
    first_rings: Vec<Vec<Option<u8>>>,
    /// The status of each service, by its [`ServiceId`].
    pub(crate) services: Vec<ServiceStatus>,
    /// The progress of builds on their ladders.
    pub(crate) progress: BTreeMap<(ServiceId, Build), StageProgress>,
    /// The current time, since 1970. It never decreases.
    pub(crate) now: Duration,
}

impl Observed {
    /// Starts with these rules and nothing received.
    pub(crate) fn new(rules: Rules, now: Duration) -> Result<Self, DependencyCycle> {
        let dependency_order = rules.dependency_order()?;
        let first_rings = rules.ladders.iter().map(Ladder::first_rings).collect();
        let services = vec![ServiceStatus::default(); rules.services.len()];
        Ok(Observed {
            rules,
            dependency_order,
            first_rings,
            services,
            progress: BTreeMap::new(),
            now,
        })
    }

    /// The status of a service.
    pub(crate) fn service(&self, service: ServiceId) -> &ServiceStatus {
        &self.services[usize::from(service.0)]
    }

    /// The last accepted status of the agent's own service.
    pub(crate) fn own_status(&self) -> Option<ReleaseStatus> {
        self.service(self.rules.own_service).last()
    }

    /// Why a service's status is unknown at the current time, if it is.
    pub(crate) fn unknown_reason(&self, service: ServiceId) -> Option<UnknownReason> {
        self.unknown_reason_at(service, self.now)
    }

    /// Why a service's status is unknown at a time, if nothing more is received until then.
    pub(crate) fn unknown_reason_at(
        &self,
        service: ServiceId,
        at: Duration,
    ) -> Option<UnknownReason> {
        let index = usize::from(service.0);
        let status = self.services.get(index)?;
        status.unknown_reason(at, self.rules.services[index].silent_after)
    }

    /// The standing of a build of the agent's own service.
    pub(crate) fn standing(&self, build: Build) -> BuildStanding {
        match self.own_status() {
            Some(last) if build < last.build => BuildStanding::Earlier,
            Some(last) if build == last.build => match last.phase {
                ReleasePhase::Canary => BuildStanding::Canary,
                ReleasePhase::Released => BuildStanding::Released,
                ReleasePhase::RollingBack | ReleasePhase::Withdrawn => BuildStanding::RollingBack,
            },
            _ => BuildStanding::Canary,
        }
    }

    /// The first ladder that applies to a build, with its index.
    pub(crate) fn indexed_ladder(
        &self,
        service: ServiceId,
        build: Build,
    ) -> Option<IndexedLadder<'_>> {
        let index = self.rules.ladder_index(service, build)?;
        Some(IndexedLadder {
            ladder: &self.rules.ladders[index],
            first_rings: &self.first_rings[index],
        })
    }

    /// The number of open rings of a build's ladder.
    pub(crate) fn open_rings(&self, service: ServiceId, build: Build) -> usize {
        self.progress
            .get(&(service, build))
            .map_or(0, |progress| progress.opened.len())
    }

    /// Starts to track the progress of `builds` of the agent's own service, and removes the progress of all builds that
    /// are neither among them nor named by a status.
    pub(crate) fn track_progress_of(&mut self, builds: &BTreeSet<Build>) {
        let own = self.rules.own_service;
        let newest = self.own_status().map(|last| last.build);
        for &build in builds {
            let progress = self.progress.entry((own, build)).or_default();
            if progress.reached.is_empty() && newest.is_none_or(|newest| build > newest) {
                // A build that is not announced is regarded as in the first stage since it was first listed.
                progress.reached.push(ReachedStage {
                    stage: Stage(0),
                    at: self.now,
                });
            }
        }
        let services = &self.services;
        let is_named = |service: ServiceId, build: Build| {
            let status = &services[usize::from(service.0)];
            status.last().is_some_and(|last| last.build == build)
                || status.released().any(|released| released == build)
        };
        self.progress.retain(|(service, build), _| {
            is_named(*service, *build) || *service == own && builds.contains(build)
        });
    }

    /// Opens the rings that are due, except for builds that are being rolled back or were withdrawn.
    pub(crate) fn open_due_rings(&mut self) {
        for ((service, build), progress) in &mut self.progress {
            let status = self.services[usize::from(service.0)]
                .last()
                .filter(|last| last.build == *build);
            let advances = status.is_none_or(|status| {
                matches!(status.phase, ReleasePhase::Canary | ReleasePhase::Released)
            });
            let ladder = self.rules.ladder(*service, *build);
            if let Some(ladder) = ladder.filter(|_| advances) {
                progress.open_due_rings(self.now, &self.rules, *service, ladder);
            }
        }
    }

    /// The next time at which something changes by the passing of time alone.
    pub(crate) fn next_change(&self) -> Option<Duration> {
        let services = self.rules.services.iter().zip(&self.services);
        let silences = services.filter_map(|(service, status)| {
            let heartbeat = status.last_heartbeat()?;
            Some(heartbeat.saturating_add(service.silent_after?))
        });
        silences
            .filter(|at| *at > self.now)
            .chain(self.next_scheduled_change())
            .min()
    }

    /// As [`Observed::next_change`], but without the times at which a service's heartbeats are overdue.
    pub(crate) fn next_scheduled_change(&self) -> Option<Duration> {
        let rings = self
            .progress
            .iter()
            .flat_map(|((service, build), progress)| {
                let ladder = self.rules.ladder(*service, *build);
                let times = ladder.map(|ladder| {
                    [
                        progress.next_ring_due(ladder),
                        progress.soak_ends_at(ladder),
                    ]
                });
                times.into_iter().flatten().flatten()
            });
        let freezes = self
            .rules
            .freezes
            .iter()
            .filter_map(|freeze| freeze.schedule.next_change(self.now));
        rings.chain(freezes).filter(|at| *at > self.now).min()
    }
}
