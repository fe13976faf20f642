import {connect} from 'node:net';

/** What a new connection to an address shows. */
export type ConnectionProbeResult =
  | 'open'
  /** It failed, for example because no process listens there. */
  | 'refused'
  /** It was not opened in time. */
  | 'silent';

/** Opens a connection and closes it again. */
export function probeConnection(
  host: string,
  port: number,
  timeoutMs: number,
): Promise<ConnectionProbeResult> {
  return new Promise(resolve => {
    const socket = connect(port, host);
    const finish = (result: ConnectionProbeResult): void => {
      socket.removeAllListeners();
      socket.on('error', () => {});
      socket.destroy();
      resolve(result);
    };
    socket.setTimeout(timeoutMs);
    socket.once('timeout', () => finish('silent'));
    socket.once('error', () => finish('refused'));
    socket.once('connect', () => finish('open'));
  });
}
