//! Where and for whom a build may be used, and when its next stage may be voted for: ladders of rings by zone and
//! tenant, dependencies on other services' builds, freezes. Decisions and state without any I/O; the clock is passed
//! in, as time since 1970. What is decided here only narrows what the decision engine allows.
//!
//! - [`model`]: the operator's rules; [`calendar`]: when freezes are active.
//! - [`gate`]: applies the rules to what was received; [`reason`] and [`events`]: its answers and changes.
//! - [`service_status`]: what was received of a service.
//! - [`stored_state`]: the gate's state as a file.
//! - [`planner`]: when builds can be released under the same rules.
//!
//! Modules depend on each other in one direction: `model`, then what is observed (`service_status`, `stage_progress`,
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
