//! Tests of the decision engine in virtual time: scripted scenarios, random orders of events, and properties of whole
//! fleets of agents. No clock is read and no connection is opened; the tests simulate everything that an agent
//! communicates with.
mod delivery;
mod discovery;
mod final_answers;
mod load;
mod reports;
mod same_decisions;
mod scenarios;
mod subset;
mod support;
mod write_timing;
