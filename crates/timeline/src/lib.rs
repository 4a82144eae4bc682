//! A time line for each desk node: its state and build, load, errors, latency, and every decision about it, each with
//! when it happened and when this agent came to know it; and an event when a node, a build or the fleet departs from
//! its usual behaviour. State and decisions without any I/O; the clock is passed in, as spans since 1970.
//!
//! [`book::Book`] takes what an agent hears and decides, [`line`] and [`steps`] keep it in bounds, [`detect`] tells a
//! departure from chance at a stated rate, [`watch`] decides what is an event of a node, a build or the fleet.
#![allow(clippy::min_ident_chars)] // Not met yet.
#![allow(missing_debug_implementations)] // Not met yet.
#![allow(missing_docs)] // Not met yet.

pub mod book;
pub mod detect;
pub mod entry;
pub mod line;
pub mod steps;
pub mod usual;
pub mod watch;
