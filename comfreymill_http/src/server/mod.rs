//! Server side: connections, requests, responses and the accept loop

mod budget;
mod connection;
mod error;
mod exchange;
mod refusal;
mod request;
mod response_writer;
mod serve;
mod shutdown;
mod watch;

pub use connection::Connection;
pub use error::ServerError;
pub use refusal::{ERROR_HEADER, Refusal};
pub use request::Request;
pub use response_writer::ResponseWriter;
pub use serve::{DrainReport, serve};
pub use shutdown::Shutdown;
