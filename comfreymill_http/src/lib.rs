//! HTTP/1.1 server and client with limits, over monoio
