/** What each refusal reason means and what to do; a test checks that no reason is missing. */
export const REFUSAL_HELP: Readonly<Record<string, string>> = {
  bad_request: 'The request is malformed; the message names what to correct.',
  unauthenticated:
    'The request carries no API key of a workspace; ask the owner of the workspace for one.',
  class_unknown: 'The workspace has no class of that name.',
  model_not_allowed: 'The class does not allow the model that the request names.',
  service_not_allowed: 'The class may not call the service.',
  no_route: 'Nothing is served at that path.',
  method_not_allowed: 'The path does not accept this method.',
  request_timeout: 'The request took too long to arrive.',
  session_version_withdrawn: "The session's version was withdrawn; start a new session.",
  duplicate_request: 'A request with this idempotency key was accepted before.',
  body_too_large: 'The body is larger than the limit that the message names.',
  headers_too_large: 'The headers are larger than the limit that the message names.',
  over_share: 'The workspace exceeds its share while others wait; retry later.',
  overloaded: 'The backend servers or this instance are overloaded; retry later.',
  no_backend: 'No backend server is available for the request.',
  no_version: 'No allowed version can serve the request now.',
  config_missing: 'The instance has no configuration yet; another instance may have one.',
  config_stale: 'The instance cannot prove that its configuration is the newest.',
  claim_unavailable:
    'A claim, or the version of a new session, could not be decided: the platform is unavailable or slow.',
  ledger_full:
    'Billing records are waiting to be stored in the platform and there is no room for more.',
  draining: 'The instance is shutting down; send the request to another one.',
  backend_failed: 'The backend server failed or closed the connection.',
  backend_invalid:
    'The response of the backend server was not what the request requires.',
  backend_truncated: 'The response of the backend server was incomplete.',
  deadline_exceeded: 'The deadline of the request passed.',
  internal: 'An internal error of the router; report it to the developers.',
}
