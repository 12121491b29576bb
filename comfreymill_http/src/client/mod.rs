//! Client side: connections, responses and requests on a connection of their own

mod connection;
mod error;
mod once;
mod response;
mod sent;
mod traffic;

pub use connection::Connection;
pub use error::{ClientError, ClientErrorKind};
pub use once::request;
pub use response::Response;
pub use sent::Sent;
pub use traffic::Traffic;
