//! Environment documents: what may run where, and with what priority.
//!
//! A document is YAML. Its digest is computed over the bytes as submitted, which ensures that the
//! document promoted to production is identical to the one tested in the trial stage.

mod batch_class;
mod class;
mod environment;
mod locate;
mod placement_rule;
mod priority;
mod problem;
mod prompt_class;
mod stage;
mod team;
mod validate;
mod weights;

pub use batch_class::BatchClass;
pub use class::{Class, ClassKind};
pub use environment::Environment;
pub use locate::locate_problems;
pub use placement_rule::PlacementRule;
pub use priority::Priority;
pub use problem::Problem;
pub use prompt_class::PromptClass;
pub use stage::{ParseStageError, Stage};
pub use team::Team;
pub use weights::Weights;
