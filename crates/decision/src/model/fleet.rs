//! The fleet of agents.
use super::ids::AgentId;

/// An agent's position among all agents.
#[derive(Clone, Copy, Debug)]
pub struct FleetPosition {
    /// This agent.
    pub own_id: AgentId,
    /// How many agents there are, this one included.
    pub agent_count: u32,
    /// Whether agents may send each other messages.
    pub can_message_peers: bool,
}
