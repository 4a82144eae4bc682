//! Laws of the gate and the planner on generated rules: a further freeze or dependency never admits more, the table
//! agrees with a plain definition, plans are as early as any, conflicts are as small as any, and the gate admits the
//! steps of a plan.
mod gate;
mod generated;
mod plan;
mod reference_gate;
mod reference_plan;
