//! Numbered result codes and the request outcome that each of them implies.
//!
//! The numbers appear in answers to callers (`mastichaven-code`), in logs, in the output of `ctl`
//! and in `docs/CODES.md`; a test compares that table with [`Code::ALL`].

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran, as reported to its caller with the final answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Outcome {
    /// The endpoint ran the request and the complete answer follows.
    Ran,
    /// No endpoint has started the request and none will; this is proven.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// The value of the response header `mastichaven-outcome`.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Parses the text written by [`Outcome::as_str`].
    pub fn from_text(text: &str) -> Option<Outcome> {
        let all = [Outcome::Ran, Outcome::NotRun, Outcome::Unknown];
        all.into_iter().find(|outcome| outcome.as_str() == text)
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $outcome:ident, $text:literal;)*) => {
        /// A result code.
        ///
        /// 1xx: requests; 2xx: configuration and settings; 3xx: weights and orders;
        /// 4xx: membership, transport and the platform.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        impl Code {
            /// Every code, in numeric order.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// Number of the code, stable between releases.
            pub fn number(self) -> u16 {
                match self { $(Code::$name => $number,)* }
            }

            /// Code with `number`, if there is one.
            pub fn from_number(number: u16) -> Option<Code> {
                Code::ALL.iter().copied().find(|code| code.number() == number)
            }

            /// HTTP status sent to callers with this code.
            pub fn http_status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Outcome of the request that this code implies.
            pub fn outcome(self) -> Outcome {
                match self { $(Code::$name => Outcome::$outcome,)* }
            }

            /// Description in one line.
            pub fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }
        }
    };
}

codes! {
    /// The request ran.
    Ok = 100, 200, Ran, "the request ran and the answer is whole";
    /// The request cannot be parsed.
    BadRequest = 101, 400, NotRun, "the request cannot be read";
    /// No customer has this key.
    UnknownCustomer = 102, 401, NotRun, "no customer has this key";
    /// No route matches the path and model of the request.
    NoRoute = 103, 404, NotRun, "no route leads from this path or model";
    /// The head or the body exceeds its limit.
    TooLarge = 104, 413, NotRun, "the request is larger than the limit";
    /// The customer exceeds its request rate or concurrency limit.
    CustomerLimit = 105, 429, NotRun, "the customer is over its limit; come back after Retry-After";
    /// The queue is full, or the expected wait exceeds the deadline.
    Shed = 106, 503, NotRun, "no capacity in time; come back after Retry-After";
    /// The deadline passed before the request was sent to an endpoint.
    DeadlineBeforeRun = 107, 504, NotRun, "the deadline passed before the request was sent";
    /// The deadline passed while an endpoint may have been running it.
    DeadlineDuringRun = 108, 504, Unknown, "the deadline passed while the request may have been running";
    /// No endpoint of the service is open.
    NoEndpoint = 109, 503, NotRun, "no endpoint of the service is open";
    /// The endpoint is at its admission limit.
    EndpointFull = 110, 503, NotRun, "the endpoint is at its limit";
    /// The agent is draining, or its availability zone is out.
    EndpointClosed = 111, 503, NotRun, "the endpoint takes no new work";
    /// The agent or its endpoint was lost after the request was sent.
    EndpointLost = 112, 502, Unknown, "the endpoint was lost after the request was sent";
    /// The request id was voided before it started.
    Voided = 113, 503, NotRun, "the request was voided before it started";
    /// The body's fingerprint is quarantined because it crashed endpoints.
    Quarantined = 114, 422, NotRun, "the request crashed endpoints and is refused for a while";
    /// The idempotency key was used with another body.
    KeyReused = 115, 422, NotRun, "the idempotency key was used with another body";
    /// The first run under this idempotency key is not finished.
    KeyInProgress = 116, 409, Unknown, "a request with this idempotency key is in progress";
    /// The first run under this idempotency key ended without a known outcome.
    KeyUnknown = 117, 409, Unknown, "a request with this idempotency key may have run; it will not run again";
    /// The claim for the idempotency key could not be written in time.
    ClaimUnavailable = 118, 503, Unknown, "this sending ran nothing, but the key's claim is out of reach: an earlier one may have run";
    /// The answer ended before it was complete.
    Truncated = 119, 502, Unknown, "the answer ended before it was whole";
    /// The endpoint answered with an error of its own.
    EndpointError = 120, 502, Ran, "the endpoint answered with an error";
    /// The endpoint serves another version than the request needs.
    WrongVersion = 121, 503, NotRun, "the endpoint does not serve the version";
    /// The caller disconnected before the answer was complete.
    CallerLeft = 122, 499, Unknown, "the caller left before the answer was whole";
    /// The retry budget is spent.
    RetryBudget = 123, 503, NotRun, "the retry budget is spent; come back after Retry-After";
    /// The request ran under this idempotency key, but its answer was too large or too old to be
    /// kept.
    AnswerNotKept = 124, 410, Ran, "the request ran before; its answer was not kept";
    /// The caller sends its request too slowly.
    SlowCaller = 125, 408, NotRun, "the request was sent too slowly";
    /// This process has not received a configuration yet.
    NotConfigured = 126, 503, NotRun, "no configuration is in force here yet; come back after Retry-After";

    /// A setting or key is unknown.
    UnknownKey = 201, 400, NotRun, "the key is not known here";
    /// A file does not parse.
    BadSyntax = 202, 400, NotRun, "the file is not valid TOML";
    /// A value is out of its range or of the wrong type.
    BadValue = 203, 400, NotRun, "the value is not allowed here";
    /// A name is defined in two files without `override = true`.
    DuplicateName = 204, 400, NotRun, "the name is defined twice without override";
    /// A reference names an entry that is not defined.
    DanglingReference = 205, 400, NotRun, "the name that is referred to is not defined";
    /// The folder is empty and `--allow-empty` was not given.
    EmptyFolder = 206, 400, NotRun, "the folder defines nothing and --allow-empty is not given";
    /// Another publisher changed the same file since the base generation.
    PublishConflict = 207, 409, NotRun, "another publisher changed the same file";
    /// A file cannot be read.
    Unreadable = 208, 400, NotRun, "the file cannot be read";
    /// A name contains invalid characters.
    BadName = 209, 400, NotRun, "the name has characters that are not allowed";
    /// A required key is missing.
    MissingKey = 210, 400, NotRun, "a needed key is missing";
    /// A command-line argument is invalid.
    BadArgument = 211, 400, NotRun, "the argument is not allowed";

    /// A chunk does not match its digest.
    CorruptChunk = 301, 502, NotRun, "the chunk does not match its digest";
    /// The chunk is not stored on this host.
    NoChunk = 302, 404, NotRun, "the chunk is not here";
    /// The chunk store is full.
    StoreFull = 303, 507, NotRun, "the chunk store is full";
    /// The chunk store cannot be written.
    StoreUnwritable = 304, 507, NotRun, "the chunk store cannot be written";
    /// The origin budget is spent.
    OriginBudget = 305, 429, NotRun, "the budget of bytes from the origin is spent";
    /// The manifest is not valid.
    BadManifest = 306, 422, NotRun, "the manifest is not valid";
    /// An order carries a stale fencing token.
    StaleOrder = 307, 409, NotRun, "the order carries an old fencing token";
    /// The engine did not carry out an order.
    OrderIgnored = 308, 502, NotRun, "the engine did not carry out the order";
    /// The chunk was pulled from the origin before.
    PulledBefore = 309, 429, NotRun, "the chunk was pulled from the origin before; peers have it";

    /// A peer's certificate does not allow this request.
    WrongRole = 401, 403, NotRun, "the peer's role does not allow this";
    /// A peer's message cannot be decoded.
    BadMessage = 402, 400, NotRun, "the message cannot be decoded";
    /// The peer cannot be reached; nothing was sent.
    Unreachable = 403, 503, NotRun, "the peer cannot be reached and nothing was sent";
    /// The peer was lost after the message was sent.
    PeerLost = 404, 502, Unknown, "the peer was lost after the message was sent";
    /// The platform cannot be reached.
    PlatformDown = 405, 503, NotRun, "the platform cannot be reached";
    /// The platform's answer was lost; a write may have taken effect.
    PlatformUnknown = 406, 504, Unknown, "the platform's answer was lost";
    /// The object on the platform was changed concurrently.
    PlatformConflict = 407, 409, NotRun, "the object was changed by somebody else";
    /// The object exceeds the maximum size of the platform.
    PlatformTooLarge = 408, 413, NotRun, "the object is larger than the platform takes";
    /// The watch starts before the oldest change that is retained, or the receiver of a delta missed
    /// earlier changes.
    WatchGap = 409, 410, NotRun, "the watch fell behind; list again";
    /// A bounded ring buffer is full.
    Busy = 410, 503, NotRun, "a bounded ring is full";
    /// The process is stopping.
    Stopping = 411, 503, NotRun, "the process is stopping";
    /// The TLS certificate, key or CA file cannot be used.
    BadTls = 412, 500, NotRun, "the TLS files cannot be used";
    /// An address cannot be bound.
    CannotBind = 413, 500, NotRun, "the address cannot be bound";
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{} {}", self.number(), self.text())
    }
}

impl std::error::Error for Code {}
