//! Decisions about prompt requests: routing, admission, retries and outliers
