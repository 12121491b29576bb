mod bad_response;
mod prefixes;
mod sending;
mod streaming;
