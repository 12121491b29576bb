//! Grants of an executor's slots to entries.

#[allow(clippy::module_inception, reason = "the module holds the type of the same name")]
mod grant;
mod grant_key;

pub use grant::Grant;
pub use grant_key::GrantKey;
