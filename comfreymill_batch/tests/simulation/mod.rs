//! Simulation with fakes of the ledger, the workers and the network between them.

mod behaviour;
mod documents;
mod fake_ledger;
mod fake_run;
mod fake_worker;
mod faults;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod simulation;

pub(crate) use behaviour::Behaviour;
pub(crate) use documents::{environment, name, resources, task_view};
pub(crate) use fake_ledger::FakeLedger;
pub(crate) use fake_run::FakeRun;
pub(crate) use fake_worker::{Answer, FakeWorker};
pub(crate) use faults::Faults;
pub(crate) use simulation::Simulation;
