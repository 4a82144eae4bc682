//! The fleet of agents.
use super::ids::AgentId;

/// The agent's position among all agents.
#[derive(Clone, Copy, Debug)]
pub struct FleetPosition {
    /// This agent's id.
    pub own_id: AgentId,
    /// Number of agents, this one included.
    pub agent_count: u32,
    /// Whether agents may send messages to each other.
    pub can_message_peers: bool,
}
