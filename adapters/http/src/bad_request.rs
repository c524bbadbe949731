//! Errors in a client's request. Their texts are the bodies of the responses.

use badgerpost_http_framing::FramingError;
use hyper::{Method, StatusCode};

/// Why a request is invalid.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BadRequest {
    /// A required header is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A header is repeated, or its value can't be parsed.
    #[error("{0} can't be read")]
    Malformed(&'static str),
    /// A header names a class or tenant that the settings don't list.
    #[error("{0} is not known")]
    Unknown(&'static str),
    /// The request's class requires this method.
    #[error("this class takes {0} only")]
    Method(Method),
    /// The request's class does not allow this header, or a body.
    #[error("{0} does not go with this class")]
    NotAllowed(&'static str),
    /// The client aborted the body, or sent it too slowly.
    #[error("the body did not arrive")]
    BodyIncomplete,
    /// The node had no memory for the body within the client's time. The request has not run.
    #[error("no memory for the body; trying again does no harm")]
    NoMemory,
    /// The request's framing is ambiguous.
    #[error(transparent)]
    Framing(#[from] FramingError),
    /// Another open request has the same id.
    #[error("{0} is that of an open request")]
    Duplicate(&'static str),
}

impl BadRequest {
    /// The status of the response.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            Self::Duplicate(_) => StatusCode::CONFLICT,
            Self::Missing(_)
            | Self::Malformed(_)
            | Self::Unknown(_)
            | Self::NotAllowed(_)
            | Self::Framing(_) => StatusCode::BAD_REQUEST,
        }
    }
}
