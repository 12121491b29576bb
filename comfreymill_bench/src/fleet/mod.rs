//! Benchmarks of real comfreymill processes over loopback, with stand-ins as their peers.

mod configuration;
mod cost;
mod failover;
#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod fleet;
mod growth;
mod idle;
mod load;
mod prompt;
mod sample;
mod simulated_upstreams;
mod starts;
mod window;

pub use configuration::configuration;
pub use failover::failover;
pub use growth::growth;
pub use idle::idle;
pub use prompt::prompt;
pub use starts::starts;

use cost::Cost;
use fleet::Fleet;
use load::Load;
use sample::Sample;
use simulated_upstreams::SimulatedUpstreams;
use window::Window;
