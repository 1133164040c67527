/*!
Messages between the processes of fescuelead.

Entries and agents speak Cap'n Proto RPC. The schema is in `schema/peer.capnp`, and the code generated from it is
committed, so that a build needs no generator. [`messages`] holds the same messages as plain Rust types; they are checked
when they are read, so that nothing malformed gets past this crate. [`api`] holds the JSON types of the entry's HTTP API.
*/

pub mod api;
pub mod messages;

#[allow(clippy::all, clippy::use_self, clippy::semicolon_if_nothing_returned, missing_docs, unused)]
#[allow(clippy::uninlined_format_args, clippy::redundant_closure_for_method_calls)]
#[allow(clippy::missing_errors_doc, clippy::missing_panics_doc)]
#[rustfmt::skip]
#[path = "generated/peer_capnp.rs"]
pub mod peer_capnp;
