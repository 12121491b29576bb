use std::env;

use comfreymill_types::id;

use super::client::Client;
use super::flags::{Options, zone};
use super::request::Request;
use super::{Output, render};

/// Environment variable with the name of who gives an order.
const USER_VARIABLE: &str = "USER";

/// Runs a command on availability zones.
pub(super) fn execute(verb: zone::ZoneCmd, options: &Options) -> Output {
    let request = match verb {
        zone::ZoneCmd::Evacuate(flags) => order(&flags.zone, "evacuate", flags.by),
        zone::ZoneCmd::Withdraw(flags) => order(&flags.zone, "withdraw", flags.by),
        zone::ZoneCmd::Status(_) => Request::get("/v1/evacuations"),
    };
    let body = Client::new(options)?.call(&request)?;
    render::answer(&body, options.output)
}

/// Returns the request of an order, which may be sent again since it names the wanted state.
fn order(zone: &id::ZoneName, verb: &str, by: Option<String>) -> Request {
    let request = Request::post(format!("/v1/evacuations/{zone}/{verb}"));
    match by.or_else(|| env::var(USER_VARIABLE).ok()).filter(|name| !name.is_empty()) {
        Some(name) => request.header("comfreymill-operator", name),
        None => request,
    }
}
