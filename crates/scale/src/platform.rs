//! The simulated platform: the release status of each service's newest build, and the votes on it.
use std::sync::Arc;
use std::time::Duration;

use lilacgate_decision::{AgentId, Vote};

use crate::agent::OLD_BUILD;
use crate::discovery::Delivery;
use crate::meter::Traffic;
use crate::network::{Incoming, ONE_WAY, ServiceIndex};
use crate::settings::FIRST_CAP;
use crate::wire;

/// The build on trial.
pub const TRIAL_BUILD: u16 = OLD_BUILD + 1;

/// Votes that the platform has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Votes {
    /// Votes to advance to the next stage.
    pub on: u64,
    /// Votes to roll back.
    pub back: u64,
    /// All other votes.
    pub other: u64,
    /// When the first vote to roll back arrived.
    pub first_back: Option<Duration>,
}

/// The simulated platform.
#[derive(Debug)]
pub struct Platform {
    on_trial: Vec<bool>,
    /// The votes, by service.
    pub votes: Vec<Votes>,
    /// Release updates that it has sent.
    pub sent: Traffic,
}

impl Platform {
    /// Creates a platform for a number of services, none with a release on trial.
    pub fn new(services: u32) -> Self {
        let services = services as usize;
        let votes = vec![Votes::default(); services];
        Platform {
            on_trial: vec![false; services],
            votes,
            sent: Traffic::default(),
        }
    }

    /// Puts a release of a service on trial.
    pub fn begin_trial(&mut self, service: ServiceIndex) {
        self.on_trial[service.0 as usize] = true;
    }

    /// Whether a release of a service is on trial.
    pub fn is_on_trial(&self, service: ServiceIndex) -> bool {
        self.on_trial[service.0 as usize]
    }

    fn release_update(&self, service: ServiceIndex) -> String {
        if self.is_on_trial(service) {
            wire::release_update(TRIAL_BUILD, 0, "Progressing", FIRST_CAP)
        } else {
            wire::release_update(OLD_BUILD, 0, "Healthy", 1.0)
        }
    }

    /// Answers a new listener with the status of a service.
    pub fn listen(&mut self, now: Duration, service: ServiceIndex, to: AgentId) -> Delivery {
        let text = wire::LISTENS.to_owned() + &self.release_update(service);
        self.deliver(now, service, to, text.into_bytes().into())
    }

    /// Sends the release status of a service to the first `agents` agents.
    pub fn broadcast(
        &mut self,
        now: Duration,
        service: ServiceIndex,
        agents: u32,
    ) -> Vec<Delivery> {
        let bytes: Arc<[u8]> = self.release_update(service).into_bytes().into();
        (0..agents)
            .map(|to| self.deliver(now, service, AgentId(to), bytes.clone()))
            .collect()
    }

    fn deliver(
        &mut self,
        now: Duration,
        service: ServiceIndex,
        to: AgentId,
        bytes: Arc<[u8]>,
    ) -> Delivery {
        self.sent.add(bytes.len());
        Delivery {
            to,
            service,
            at: now + ONE_WAY,
            message: Incoming::ReleaseUpdate(bytes),
        }
    }

    /// Counts a vote.
    pub fn vote(&mut self, now: Duration, service: ServiceIndex, vote: Vote) {
        let votes = &mut self.votes[service.0 as usize];
        match vote {
            Vote::Advance => votes.on += 1,
            Vote::RollBack => {
                votes.back += 1;
                votes.first_back.get_or_insert(now);
            }
            Vote::Hold | Vote::Retract => votes.other += 1,
        }
    }
}
