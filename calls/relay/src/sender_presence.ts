import type {IncomingMessage, ServerResponse} from 'node:http';

/** Whether the sender of a request has closed its connection. */
export function hasSenderLeft({socket}: IncomingMessage): boolean {
  return socket.destroyed || socket.readableEnded;
}

/**
 * Calls a function once the response was sent or the connection has closed. The
 * response alone does not tell: while an earlier request of its connection is in
 * progress, it is not attached to the connection.
 */
export function onceClosed(
  {socket}: IncomingMessage,
  response: ServerResponse,
  handleClose: () => void,
): void {
  let isClosed = false;
  const handle = () => {
    response.off('close', handle);
    socket.off('close', handle);
    // A listener that is removed during an event is still called for it.
    if (!isClosed) {
      isClosed = true;
      handleClose();
    }
  };
  response.once('close', handle);
  socket.once('close', handle);
}
