mod bad_response;
mod sending;
