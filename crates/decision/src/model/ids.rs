//! Identifiers. Each kind has a type of its own, so that the compiler rejects a mix-up.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// Identifies a request of a client. A number is never reused while the agent runs.
    RequestId(u32);
    /// Identifies an endpoint. A restart of its process does not change the number.
    EndpointId(u32);
    /// Identifies an agent among its peers, counting from 0.
    AgentId(u32);
    /// A class of requests that share one [`ClassPolicy`](crate::ClassPolicy), as its index in the settings.
    RequestClass(u8);
    /// A customer with a quota of its own, as its index in the settings.
    Tenant(u16);
    /// An availability zone.
    Zone(u8);
    /// The model of the machine that an endpoint runs on.
    MachineModel(u8);
    /// A small group of endpoints that know each other's idempotency keys.
    Cell(u16);
    /// A version of the endpoints' software; a later build has a higher number.
    Build(u16);
    /// A stage of a build's rollout, counting from 0.
    Stage(u8);
    /// The key by which endpoints recognise and drop repeats of a request.
    IdempotencyKey(u64);
    /// The number of an attempt within its request, counting from 0.
    AttemptNumber(u8);
    /// Identifies a scheduled wake-up.
    TimerId(u64);
}
