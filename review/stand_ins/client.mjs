import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';

/** Host of all routes. */
export const HOST = 'hints.example';

/**
 * Sends one request to the relay of a VM and waits for the whole answer, at most
 * until the deadline. Never rejects.
 *
 * @param leaveAfterMs time after which the client closes its connection.
 * @return status (0 without an answer), and times on `performance.now`, in ms.
 */
export function send({
  vm,
  id,
  path,
  agent = false,
  method = 'POST',
  body = Buffer.alloc(0),
  deadlineMs,
  leaveAfterMs = deadlineMs,
}) {
  return new Promise(resolve => {
    const result = {id, path, status: 0, error: '', text: ''};
    result.sentMs = performance.now();
    const finish = () => {
      clearTimeout(timer);
      result.endedMs ??= performance.now();
      resolve(result);
    };
    const request = http.request({
      ...vm.outbound,
      agent,
      method,
      path,
      headers: {
        Host: HOST,
        'X-Request-Id': id,
        'X-Deadline-Ms': deadlineMs,
        'Content-Length': body.length,
      },
    });
    const timer = setTimeout(() => {
      result.leftMs = performance.now();
      request.destroy();
    }, leaveAfterMs);
    request.on('response', response => {
      const chunks = [];
      response.on('data', chunk => chunks.push(chunk));
      response.on('end', () => {
        result.status = response.statusCode;
        result.text = Buffer.concat(chunks).toString('latin1');
        result.endedMs = performance.now();
        clearTimeout(timer);
        resolve(result);
      });
      response.on('error', error => (result.error = error.code));
      response.on('close', finish);
    });
    request.on('error', error => (result.error = error.code ?? error.message));
    request.on('close', finish);
    request.end(body);
  });
}
