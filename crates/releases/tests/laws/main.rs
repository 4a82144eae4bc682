//! Property tests of the gate and the planner on generated rules: an additional freeze or dependency never admits more,
//! the gate agrees with a simple reference, no plan is earlier, no conflict is smaller, and the gate admits the steps
//! of a plan.
mod gate;
mod generated;
mod plan;
mod reference_gate;
mod reference_plan;
