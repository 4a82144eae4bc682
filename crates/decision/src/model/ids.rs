//! Identifiers: one type for each kind, so that they cannot be mistaken for each other.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A request as a client sent it; a number is never reused while the agent runs.
    RequestId(u32);
    /// A server process that takes requests; the number outlives a restart of the process.
    EndpointId(u32);
    /// An agent among its peers, counting from 0.
    AgentId(u32);
    /// A class of requests that share one [`ClassPolicy`](crate::ClassPolicy), as its index in the settings.
    RequestClass(u8);
    /// A customer with a quota of its own, as its index in the settings.
    Tenant(u16);
    /// An availability zone.
    Zone(u8);
    /// A type of machine.
    MachineModel(u8);
    /// A small group of endpoints that share which idempotency keys they have seen.
    Cell(u16);
    /// A version of the endpoints' software; later ones are higher.
    Build(u16);
    /// A stage of a build's rollout, counting from 0.
    Stage(u8);
    /// Identifies what a request concerns, so that endpoints can drop its repeats.
    IdempotencyKey(u64);
    /// The attempts of one request, counting from 0.
    AttemptNumber(u8);
    /// Names a wake-up that was scheduled earlier.
    TimerId(u64);
}
