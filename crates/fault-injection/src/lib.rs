//! Tests only: makes system calls of a process fail, transfer too little or wait, and shifts its wall clock.
//!
//! The library is loaded into a real agent by `LD_PRELOAD`. It replaces some functions of the C library, and passes
//! each call on unless a rule of its script applies. Faults are chosen at random from the script's seed, and counted in
//! a file that outlives the process.
//!
//! - `injector`: decides which fault each call gets;
//! - `interpose`: the replacement functions, which are the only unsafe code of the repository.
//!
//! Calls that do not go through these functions get no faults, such as the calls of the event loop to epoll; the kernel
//! itself interrupts those on each signal.
mod injector;
mod interpose;
