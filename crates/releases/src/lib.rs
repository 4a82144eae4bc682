//! Decides in which zones and for which tenants a build may be used, and when its next stage may be voted for. The
//! operator's rules are ladders of rings, dependencies on builds of other services, and freezes. This crate does no
//! I/O; the clock is passed in, as time since 1970. Its decisions only restrict what the decision engine allows.
//!
//! - [`model`]: the operator's rules; [`calendar`]: when freezes are active.
//! - [`gate`]: applies the rules to received statuses; [`reason`] and [`events`]: its decisions and their changes.
//! - [`service_status`]: the statuses received from a service.
//! - [`stored_state`]: the gate's state in the form in which it is stored.
//! - [`planner`]: computes when builds can be released under the same rules.
//!
//! Modules depend on each other in one direction: first `model`, then observations (`service_status`, `stage_progress`,
//! `observed`), then decisions (`dependencies`, `row_update`, `advance`), then `gate`, then `stored_state` and
//! `describe`.

mod advance;
pub mod calendar;
mod dependencies;
mod dependency_order;
mod describe;
pub mod events;
pub mod gate;
pub mod model;
mod observed;
mod permission_table;
pub mod planner;
pub mod reason;
mod row_update;
mod rules_change;
pub mod service_status;
mod stage_progress;
pub mod stored_state;
mod time_text;
