//! Hop-by-hop headers, which apply to a single connection and are not forwarded

use http::header;

const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the hop-by-hop headers and the headers named in `Connection`.
pub fn remove_hop_by_hop(headers: &mut http::HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Returns whether `Connection` lists the option, ignoring ASCII case.
pub(crate) fn has_connection_option(headers: &http::HeaderMap, option: &str) -> bool {
    connection_options(headers).any(|word| word.eq_ignore_ascii_case(option))
}

fn named_by_connection(headers: &http::HeaderMap) -> Vec<header::HeaderName> {
    connection_options(headers)
        .filter_map(|word| header::HeaderName::from_bytes(word.as_bytes()).ok())
        .collect()
}

fn connection_options(headers: &http::HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(str::trim)
        .filter(|word| !word.is_empty())
}
