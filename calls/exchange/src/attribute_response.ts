/** To which request a response belongs. */
export type ResponseAttribution = 'request' | 'earlierRequest' | 'unknown';

/** Inputs of `attributeResponse`. */
export interface AttributionInputs {
  /** Id of the request in progress, if it has one. */
  requestId: string | undefined;
  /** Ids that the response bears; several when the heads of two responses have merged. */
  echoedIds: ReadonlySet<string>;
  /**
   * Whether a response without an id may belong to an earlier request of the
   * connection, or was sent before the server had the whole request.
   */
  isIdRequired: boolean | undefined;
}

/** Determines the request to which a response on a connection belongs. */
export function attributeResponse({
  requestId,
  echoedIds,
  isIdRequired,
}: AttributionInputs): ResponseAttribution {
  if (requestId === undefined) {
    return 'request';
  }
  if (echoedIds.size === 1) {
    return echoedIds.has(requestId) ? 'request' : 'earlierRequest';
  }
  return echoedIds.size > 1 || isIdRequired ? 'unknown' : 'request';
}
