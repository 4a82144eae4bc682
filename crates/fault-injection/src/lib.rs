//! Tests only: makes the system calls of a process fail, come short or late, and steps its wall clock.
//!
//! The library is loaded into a real agent by `LD_PRELOAD`. It stands in for some functions of the C library, and passes
//! each call on unless a rule of its script says otherwise. What it injects is drawn from the script's seed, and counted
//! in a file that outlives the process.
//!
//! - `injector`: decides for each call;
//! - `interpose`: the functions themselves, the only unsafe code of the repository.
//!
//! Calls that do not go through the C library are out of its reach: those of the event loop to epoll, which the kernel
//! itself interrupts at each signal.
mod injector;
mod interpose;
