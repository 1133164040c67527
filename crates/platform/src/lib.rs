/*!
Interfaces to the platform that fescuelead runs on.

The platform is met through three narrow interfaces: an append-only [log service](log), the [worker] on each host, and the
[announcements](announce) of endpoints. The traits say what fescuelead relies on and nothing more; the HTTP adapters
beside them speak the platform's protocols.
*/

pub mod announce;
pub mod http;
pub mod log;
pub mod worker;
