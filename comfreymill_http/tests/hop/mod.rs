use comfreymill_http::hop;

#[test]
fn hop_by_hop_headers_and_those_named_are_removed() {
    let mut headers = http::HeaderMap::new();
    let given = [
        ("connection", "close, X-Named"),
        ("connection", "x-other"),
        ("keep-alive", "timeout=5"),
        ("proxy-authorization", "secret"),
        ("proxy-connection", "keep-alive"),
        ("te", "trailers"),
        ("trailer", "x"),
        ("transfer-encoding", "chunked"),
        ("upgrade", "websocket"),
        ("x-named", "1"),
        ("x-other", "2"),
        ("x-kept", "3"),
        ("content-type", "text/plain"),
    ];
    for (name, value) in given {
        headers.append(name, http::HeaderValue::from_static(value));
    }
    hop::remove_hop_by_hop(&mut headers);
    let mut left = headers.keys().map(http::HeaderName::as_str).collect::<Vec<_>>();
    left.sort_unstable();
    assert_eq!(left, ["content-type", "x-kept"]);
}
