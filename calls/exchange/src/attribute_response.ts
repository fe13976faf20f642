/** To which request a response belongs. */
export type ResponseAttribution = 'request' | 'earlierRequest' | 'unknown';

/** Inputs of `attributeResponse`. */
export interface AttributionInputs {
  /** Id of the request in progress, if it has one. */
  requestId: string | undefined;
  /** Id that the response bears, if it bears one. */
  echoedId: string | undefined;
  /**
   * Whether a response without an id may belong to an earlier request of the
   * connection.
   */
  isIdRequired: boolean | undefined;
}

/** Determines the request to which a response on a connection belongs. */
export function attributeResponse({
  requestId,
  echoedId,
  isIdRequired,
}: AttributionInputs): ResponseAttribution {
  if (requestId === undefined || echoedId === requestId) {
    return 'request';
  }
  if (echoedId !== undefined) {
    return 'earlierRequest';
  }
  return isIdRequired ? 'unknown' : 'request';
}
