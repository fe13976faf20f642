import net from 'node:net';
import {parentPort, Worker, workerData} from 'node:worker_threads';

/** Callers that send one request each at the same moment and then leave. */
export interface CallerOptions {
  host: string;
  port: number;
  count: number;
  /** Bytes of a request, without the request id. */
  head: string;
  requestIdHeader: string;
  /** Time after which a caller that got no response closes its connection, in ms. */
  leaveAfterMs: number;
}

/** What one caller did and got; times are ms since the epoch. */
export interface CallerReport {
  id: string;
  sentAtMs: number;
  /** When it closed its connection without a response. */
  leftAtMs?: number;
  /** When its response was complete. */
  answeredAtMs?: number;
  status?: number;
}

/**
 * Runs callers in a thread of their own, so that a busy event loop of the test
 * does not delay them.
 */
export function runCallers(options: CallerOptions): Promise<CallerReport[]> {
  return new Promise((resolve, reject) => {
    const thread = new Worker(new URL(import.meta.url), {workerData: options});
    thread.once('message', resolve);
    thread.once('error', reject);
  });
}

/** Time in ms since the epoch, with fractions; comparable between threads. */
export function epochMs(): number {
  return performance.timeOrigin + performance.now();
}

function runCaller(
  options: CallerOptions,
  index: number,
): Promise<CallerReport> {
  const id = `request-${index}`;
  return new Promise(resolve => {
    const report: CallerReport = {id, sentAtMs: epochMs()};
    const socket = net.connect({host: options.host, port: options.port});
    const timer = setTimeout(() => {
      report.leftAtMs = epochMs();
      socket.destroySoon();
    }, options.leaveAfterMs);
    socket.on('data', chunk => {
      report.status ??= Number(chunk.toString('latin1').split(' ')[1]);
      report.answeredAtMs = epochMs();
      clearTimeout(timer);
      socket.destroySoon();
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(report);
    });
    socket.write(`${options.head}${options.requestIdHeader}: ${id}\r\n\r\n`);
  });
}

if (parentPort) {
  const options = workerData as CallerOptions;
  const reports = await Promise.all(
    Array.from({length: options.count}, (_, index) =>
      runCaller(options, index),
    ),
  );
  parentPort.postMessage(reports);
}
