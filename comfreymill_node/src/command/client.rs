use std::env;
use std::fs;
use std::net;
use std::path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreymill_http::client;
use comfreymill_types::error;
use comfreymill_types::error::ErrorKind;

use super::answer;
use super::flags::Options;
use super::request::Request;

const OPERATORS_VARIABLE: &str = "COMFREYMILL_OPERATORS";
const TOKEN_FILE_VARIABLE: &str = "COMFREYMILL_TOKEN_FILE";
const DEFAULT_TOKEN_FILE: &str = "data/operators.token";
const DEFAULT_OPERATORS: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 7402);
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(4);
const MIN_ATTEMPT_TIME: Duration = Duration::from_secs(1);
/// Pause between two rounds over all addresses.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Client for the operators' listeners of nodes.
#[derive(Debug)]
pub(super) struct Client {
    addresses: Vec<net::SocketAddr>,
    token: Option<String>,
    timeout: Duration,
}

/// Result of one attempt at one node.
enum Attempt {
    /// The node gave a final answer.
    Answered(Result<Bytes, error::Error>),
    /// The attempt failed; another node or a later attempt may succeed.
    Failed(error::Error),
    /// Like `Failed`, but the node may have done the request.
    Unknown(error::Error),
}

impl Client {
    /// Creates a client from the options, or else from the environment variables and defaults.
    ///
    /// # Errors
    ///
    /// Fails if a variable is malformed or the token file cannot be read.
    pub(super) fn new(options: &Options) -> Result<Self, error::Error> {
        let mut addresses = options.operators.clone();
        if addresses.is_empty() {
            addresses = read_addresses()?;
        }
        let timeout = options.timeout.map_or(DEFAULT_TIMEOUT, Duration::from);
        Ok(Self { addresses, token: read_token(options.token_file.as_deref())?, timeout })
    }

    /// Addresses in the order in which they are tried.
    pub(super) fn get_addresses(&self) -> &[net::SocketAddr] {
        &self.addresses
    }

    /// Sends a request to the nodes in turn until one answers.
    ///
    /// A change has the same operation id or key in every attempt, so that it is applied only once.
    ///
    /// # Errors
    ///
    /// Fails if a node refuses the request or no node answers in time.
    pub(super) fn call(&self, request: &Request) -> Result<Bytes, error::Error> {
        let runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer().build();
        let mut runtime = runtime.map_err(|error| {
            error::Error::new(ErrorKind::Internal, format!("cannot start the runtime: {error}"))
        })?;
        runtime.block_on(self.call_until_answered(request))
    }

    async fn call_until_answered(&self, request: &Request) -> Result<Bytes, error::Error> {
        let deadline = Instant::now() + self.timeout;
        let mut maybe_done = false;
        loop {
            let mut last = None;
            for address in &self.addresses {
                match self.attempt(*address, request, deadline).await {
                    Attempt::Answered(answer) => return answer,
                    Attempt::Failed(error) => last = Some(error),
                    Attempt::Unknown(error) => {
                        maybe_done = true;
                        last = Some(error);
                    }
                }
            }
            if Instant::now() + RETRY_PAUSE + MIN_ATTEMPT_TIME >= deadline {
                return Err(final_error(request, maybe_done, last));
            }
            monoio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn attempt(
        &self,
        address: net::SocketAddr,
        request: &Request,
        deadline: Instant,
    ) -> Attempt {
        let left = deadline.saturating_duration_since(Instant::now()).min(ATTEMPT_TIMEOUT);
        let (headers, target) = match self.build_head(request) {
            Ok(head) => head,
            Err(error) => return Attempt::Answered(Err(error)),
        };
        let method = request.get_method().clone();
        let body = request.get_body().clone();
        match client::request(address, method, target, headers, body, left).await {
            Ok(response) => classify_answer(answer::read(response)),
            Err(failure) => {
                let message = format!("{address}: {}", failure.kind);
                let error = error::Error::new(ErrorKind::Unreachable, message);
                match failure.sent {
                    client::Sent::Nothing => Attempt::Failed(error),
                    client::Sent::Some => Attempt::Unknown(error),
                }
            }
        }
    }

    fn build_head(&self, request: &Request) -> Result<(http::HeaderMap, http::Uri), error::Error> {
        let bad = |message: String| error::Error::new(ErrorKind::BadRequest, message);
        let mut headers = http::HeaderMap::new();
        for (name, value) in request.get_headers() {
            let value =
                value.parse().map_err(|_| bad(format!("`{value}` is not a valid header value")))?;
            headers.insert(*name, value);
        }
        if let Some(token) = &self.token {
            let value = format!("Bearer {token}").parse();
            let value =
                value.map_err(|_| bad("the token is not a valid header value".to_owned()))?;
            headers.insert(http::header::AUTHORIZATION, value);
        }
        let path = request.get_path();
        let target = path.parse().map_err(|_| bad(format!("`{path}` is not a path")))?;
        Ok((headers, target))
    }
}

/// Classifies an answer by whether another node or a later attempt may succeed.
fn classify_answer(answer: Result<Bytes, error::Error>) -> Attempt {
    match answer {
        Err(error) => match error.get_kind() {
            ErrorKind::NoLeader
            | ErrorKind::NotCurrent
            | ErrorKind::Unreachable
            | ErrorKind::Draining => Attempt::Failed(error),
            ErrorKind::CommitUnknown => Attempt::Unknown(error),
            _ => Attempt::Answered(Err(error)),
        },
        Ok(body) => Attempt::Answered(Ok(body)),
    }
}

/// Error to report after the last attempt; `last` is the error of that attempt.
fn final_error(request: &Request, maybe_done: bool, last: Option<error::Error>) -> error::Error {
    let last = last.unwrap_or_else(|| error::Error::new(ErrorKind::Unreachable, "no address"));
    match request.get_operation() {
        Some(flag) if maybe_done => {
            let message = format!(
                "{}; the change may have been done: send it again with `{flag}`",
                last.get_message()
            );
            error::Error::new(ErrorKind::CommitUnknown, message)
        }
        _ => last,
    }
}

fn read_addresses() -> Result<Vec<net::SocketAddr>, error::Error> {
    let Ok(text) = env::var(OPERATORS_VARIABLE) else { return Ok(vec![DEFAULT_OPERATORS]) };
    let parse = |part: &str| {
        part.trim().parse().map_err(|error| {
            let message = format!("{OPERATORS_VARIABLE}: `{part}`: {error}; write 127.0.0.1:7402");
            error::Error::new(ErrorKind::BadRequest, message)
        })
    };
    text.split(',').map(parse).collect()
}

fn read_token(file: Option<&path::Path>) -> Result<Option<String>, error::Error> {
    let named = file.map(path::Path::to_owned).or_else(|| {
        env::var_os(TOKEN_FILE_VARIABLE).filter(|file| !file.is_empty()).map(path::PathBuf::from)
    });
    let file = match named {
        Some(file) => file,
        None if path::Path::new(DEFAULT_TOKEN_FILE).exists() => DEFAULT_TOKEN_FILE.into(),
        None => return Ok(None),
    };
    let text = fs::read_to_string(&file).map_err(|error| {
        let message = format!("token file `{}` cannot be read: {error}", file.display());
        error::Error::new(ErrorKind::BadRequest, message)
    })?;
    Ok(Some(text.trim().to_owned()))
}
