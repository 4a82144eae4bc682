//! The rules and all that was received so far: what every decision of the gate is based on.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lilacgate_decision::{Build, ReleasePhase, Stage};

use crate::model::{DependencyCycle, Ladder, Rules, ServiceId};
use crate::service_status::{ReleaseStatus, ServiceStatus, UnknownReason};
use crate::stage_progress::{ReachedStage, StageProgress};

/// Where a build of the own service stands in relation to the newest announced build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BuildStanding {
    /// It is earlier than the newest build: ladders and freezes no longer apply.
    Earlier,
    /// It is the newest build, and released.
    Released,
    /// It is the newest build and a canary, or it is not announced yet.
    Canary,
    /// It is the newest build, and is being rolled back or withdrawn.
    RollingBack,
}

impl BuildStanding {
    /// Whether the rules for canaries apply.
    pub(crate) fn is_unreleased(self) -> bool {
        matches!(self, BuildStanding::Canary | BuildStanding::RollingBack)
    }
}

/// A ladder, and the first ring that holds each pair.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IndexedLadder<'a> {
    /// The ladder.
    pub(crate) ladder: &'a Ladder,
    /// By pair, the index of the first ring that holds it.
    pub(crate) first_rings: &'a [Option<u8>],
}

/// The rules and what was received.
#[derive(Clone, Debug)]
pub(crate) struct Observed {
    /// The rules.
    pub(crate) rules: Rules,
    /// The indices of the dependencies, each after all that it rests on.
    pub(crate) dependency_order: Vec<usize>,
    /// For each ladder, the first ring of each pair.
    first_rings: Vec<Vec<Option<u8>>>,
    /// What was received of each service, by its number.
    pub(crate) services: Vec<ServiceStatus>,
    /// How far builds have come on their ladders.
    pub(crate) progress: BTreeMap<(ServiceId, Build), StageProgress>,
    /// The present time, since 1970. It never goes back.
    pub(crate) now: Duration,
}

impl Observed {
    /// The rules, with nothing received.
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

    /// What was received of a service.
    pub(crate) fn service(&self, service: ServiceId) -> &ServiceStatus {
        &self.services[usize::from(service.0)]
    }

    /// The last accepted status of the own service.
    pub(crate) fn own_status(&self) -> Option<ReleaseStatus> {
        self.service(self.rules.own_service).last()
    }

    /// Why a service's status is unknown now, if it is.
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

    /// Where a build of the own service stands.
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

    /// The ladder of a build, with the first rings of the pairs.
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

    /// Forgets the progress of builds that are neither named by a status nor, for the own service, among `builds`, and
    /// begins it for those.
    pub(crate) fn track_progress_of(&mut self, builds: &BTreeSet<Build>) {
        let own = self.rules.own_service;
        let newest = self.own_status().map(|last| last.build);
        for &build in builds {
            let progress = self.progress.entry((own, build)).or_default();
            if progress.reached.is_empty() && newest.is_none_or(|newest| build > newest) {
                // A build that is not announced counts as in the first stage since it was first listed.
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

    /// Opens the rings that are due, of builds that are not rolled back.
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

    /// When something changes by time alone.
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

    /// When something changes by time alone, other than that a service falls silent.
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
