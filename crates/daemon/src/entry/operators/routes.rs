//! Reading of requests to the operator API, and their routing to the handlers.

use {
    super::{
        OperatorContext,
        answers::{OperatorError, Result, error_answer, json_answer},
        changes,
        fields::RequestFields,
        fleet, reports,
    },
    crate::constants::{MAX_OPERATOR_BODY_BYTES, OPERATOR_READ_TIMEOUT},
    bytes::Bytes,
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{Method, Request, Response, StatusCode, body::Incoming},
    serde::Serialize,
    tokio::time::timeout,
};

type Answer = Response<Full<Bytes>>;

/// Answers one request. The body is read before the route is known.
pub(super) async fn answer(request: Request<Incoming>, context: &OperatorContext) -> Answer {
    let (head, body) = request.into_parts();
    let result = match read_fields(body).await {
        Ok(fields) => {
            let path: Vec<_> = head.uri.path().trim_start_matches('/').split('/').collect();
            route(context, (&head.method, &path), head.uri.query(), fields).await
        }
        Err(error) => Err(error),
    };
    result.unwrap_or_else(error_answer)
}

async fn read_fields(body: Incoming) -> Result<RequestFields> {
    let collect = Limited::new(body, MAX_OPERATOR_BODY_BYTES).collect();
    let Ok(collected) = timeout(OPERATOR_READ_TIMEOUT, collect).await else {
        let message = "field `body`: it did not arrive in time";
        let status = StatusCode::REQUEST_TIMEOUT;
        return Err(OperatorError::new(status, "slow_client", message));
    };
    let collected = collected.map_err(|error| {
        if error.is::<LengthLimitError>() {
            let message = format!("field `body`: larger than {MAX_OPERATOR_BODY_BYTES} bytes");
            OperatorError::new(StatusCode::PAYLOAD_TOO_LARGE, "too_large", message)
        } else {
            OperatorError::invalid_field("body", error)
        }
    })?;
    RequestFields::parse(&collected.to_bytes())
}

async fn route(
    context: &OperatorContext,
    request: (&Method, &[&str]),
    query: Option<&str>,
    fields: RequestFields,
) -> Result<Answer> {
    match request {
        (&Method::GET, ["v1", "defaults"]) => ok(&reports::defaults(context).await?),
        (&Method::PUT, ["v1", "defaults", key]) => {
            ok(&changes::set_default(context, key, fields).await?)
        }
        (&Method::GET, ["v1", "exceptions"]) => ok(&reports::exceptions(context).await?),
        (&Method::POST, ["v1", "exceptions"]) => {
            ok(&changes::add_exception(context, fields).await?)
        }
        (&Method::DELETE, ["v1", "exceptions", id]) => {
            ok(&changes::remove_exception(context, id, fields).await?)
        }
        (&Method::GET, ["v1", "history"]) => ok(&reports::history(context, query).await?),
        (&Method::GET, ["v1", "status"]) => ok(&context.fleet.status()),
        (&Method::GET, ["v1", "explain", id]) => ok(&fleet::explain(context, id)?),
        (&Method::POST, ["v1", "drain", target]) => {
            ok(&fleet::drain(context, target, fields).await?)
        }
        (method, path) => Err(unknown_route(method, path)),
    }
}

fn ok<T: Serialize>(body: &T) -> Result<Answer> {
    Ok(json_answer(StatusCode::OK, body))
}

fn unknown_route(method: &Method, path: &[&str]) -> OperatorError {
    let message = format!(
        "field `path`: there is no `{method} /{}`",
        path.join("/").escape_debug()
    );
    OperatorError::new(StatusCode::NOT_FOUND, "not_found", message)
}
