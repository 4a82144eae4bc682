//! What an operator or a failure does to a simulated fleet: changes of lists, restarts, releases.
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lilacgate_decision::AgentId;
use rand::RngExt;
use rayon::prelude::{IntoParallelIterator, ParallelIterator};

use super::{Simulation, TRIAL_PART};
use crate::agent::Agent;
use crate::discovery::Delivery;
use crate::endpoint::Power;
use crate::error::ScaleError;
use crate::network::ServiceIndex;
use crate::platform::TRIAL_BUILD;
use crate::wire::{Entry, ListedState};

/// The weight of an endpoint after a change, in place of 1.
const CHANGED_WEIGHT: f32 = 0.95;

impl Simulation {
    /// Plans the first change of a list.
    pub(super) fn plan_change(&mut self) {
        let rate = self.common.size.change_rate;
        self.next_change = (rate > 0.0).then(|| self.now + Duration::from_secs_f64(1.0 / rate));
    }

    /// Changes lists at the fleet's rate.
    pub(super) fn change_lists(&mut self, end: Duration) {
        while let Some(at) = self.next_change.filter(|at| *at < end) {
            let index = self.random.random_range(0..self.endpoints.len()) as u32;
            self.change_weight(index);
            let gap = Duration::from_secs_f64(1.0 / self.common.size.change_rate);
            self.next_change = Some(at + gap);
        }
    }

    /// Changes the weight of one endpoint, as a change of configuration does.
    pub fn change_weight(&mut self, index: u32) {
        let entry = &mut self.endpoints[index as usize].entry;
        entry.weight = if entry.weight < 1.0 {
            1.0
        } else {
            CHANGED_WEIGHT
        };
        self.publish(&[index]);
    }

    /// Sends the current entries of these endpoints to all watchers.
    pub fn publish(&mut self, indices: &[u32]) {
        let mut changes: BTreeMap<ServiceIndex, Vec<Entry>> = BTreeMap::new();
        for &index in indices {
            let endpoint = &self.endpoints[index as usize];
            let entries = changes.entry(endpoint.service).or_default();
            entries.push(endpoint.entry.clone());
        }
        let agents = (0..self.agents.len() as u32).map(AgentId);
        let reached: Vec<bool> = agents.map(|to| self.reaches_discovery(to)).collect();
        let reaches = |to: AgentId| reached.get(to.0 as usize).copied().unwrap_or(false);
        for (service, entries) in changes {
            let deliveries = self.discovery.change(self.now, service, &entries, reaches);
            self.deliver_all(deliveries);
        }
    }

    fn deliver_all(&mut self, deliveries: Vec<Delivery>) {
        for delivery in deliveries {
            self.deliver(delivery);
        }
    }

    /// Ends an endpoint's process or machine. Its requests are lost.
    pub fn stop_endpoint(&mut self, index: u32, power: Power) {
        self.endpoints[index as usize].power = power;
        self.open_attempts.lose_endpoint(index, power, self.now);
    }

    /// Starts an endpoint again, listed as ready; [`Simulation::publish`] sends the change.
    pub fn restart_endpoint(&mut self, index: u32) {
        let now = self.now;
        let build = self.endpoints[index as usize].entry.build;
        self.endpoints[index as usize].restart(now, build);
    }

    /// Sets the listed state of an endpoint; [`Simulation::publish`] sends the change.
    pub fn list_as(&mut self, index: u32, state: ListedState) {
        self.endpoints[index as usize].entry.state = state;
    }

    /// Restarts these agents at once, with the lists that their start files hold.
    ///
    /// # Errors
    /// Their start settings cannot be used.
    pub fn restart_agents(&mut self, agents: &[AgentId]) -> Result<(), ScaleError> {
        let services: Vec<ServiceIndex> =
            (0..self.common.size.services).map(ServiceIndex).collect();
        let saved: Vec<Arc<[u8]>> = services
            .iter()
            .map(|service| self.discovery.saved(*service))
            .collect();
        self.open_attempts.lose_agents(agents);
        let (common, now) = (&self.common, self.now);
        let restarted: Vec<&mut Agent> = self
            .agents
            .iter_mut()
            .filter(|agent| agents.contains(&agent.id))
            .collect();
        self.pool.install(|| {
            restarted
                .into_par_iter()
                .try_for_each(|agent| agent.restart(now, common, &saved))
        })?;
        for &agent in agents {
            for &service in &services {
                self.discovery.unwatch(service, agent);
                let delivery = self.platform.listen(now, service, agent);
                self.deliver(delivery);
            }
        }
        self.exchange();
        Ok(())
    }

    /// Begins a trial in a service: a tenth of its endpoints restart with the new build.
    pub fn begin_trial(&mut self, service: ServiceIndex) {
        let members = self.members(service).into_iter();
        let trial: Vec<u32> = members
            .filter(|index| index.is_multiple_of(TRIAL_PART))
            .collect();
        for &index in &trial {
            self.endpoints[index as usize].restart(self.now, TRIAL_BUILD);
        }
        self.platform.begin_trial(service);
        self.publish(&trial);
        let agents = self.agents.len() as u32;
        let deliveries = self.platform.broadcast(self.now, service, agents);
        self.deliver_all(deliveries);
    }

    /// Indices of the endpoints of a service.
    pub fn members(&self, service: ServiceIndex) -> Vec<u32> {
        self.endpoints
            .iter()
            .filter(|endpoint| endpoint.service == service)
            .map(|endpoint| endpoint.entry.index)
            .collect()
    }
}
