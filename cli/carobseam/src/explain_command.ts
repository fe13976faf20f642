import type {CallExplanation} from '@carobseam/daemon.admin/messages';
import {CarobseamError} from '@carobseam/core.errors';
import {AdminClient} from './admin_client.js';
import type {CliOutput} from './cli_output.js';
import {exitCodes, type ExitCode} from './exit_code.js';
import {formatTable} from './format_table.js';

/** Options of `carobseam explain`. */
export interface ExplainOptions {
  json?: boolean;
  requestTimeout: number;
}

const METHOD_PATTERN = /^[A-Z]{1,16}$/;

/** `carobseam explain`; exit code 1 when the call would be refused. */
export async function explainCommand(
  call: {address: string; method: string; path: string},
  options: ExplainOptions,
  output: CliOutput,
): Promise<ExitCode> {
  const method = call.method.toUpperCase();
  requireCall(method, call.path);
  const client = new AdminClient(call.address, options.requestTimeout);
  const explanation = await client.explain(method, call.path);
  const lines = options.json
    ? [JSON.stringify(explanation)]
    : formatExplanation(explanation);
  lines.forEach(output.writeResult);
  const isServed =
    explanation.lifecycle === 'serving' &&
    explanation.workers.some(({usable}) => usable);
  return isServed ? exitCodes.done : exitCodes.notFulfilled;
}

function requireCall(method: string, path: string): void {
  if (METHOD_PATTERN.test(method) && path.startsWith('/')) {
    return;
  }
  throw new CarobseamError({
    code: 'ARGUMENT_INVALID',
    message: `${method} ${path} is no call`,
    hint: 'use a method and a path from the root, such as GET /hints/reveal/7',
  });
}

/** Formats an explanation as lines for operators. */
function formatExplanation(explanation: CallExplanation): string[] {
  const {vmId, method, path, version, lifecycle} = explanation;
  const {route, service, policy, workers} = explanation;
  const first = `${method} ${path} at ${vmId} (${lifecycle}, version ${version})`;
  if (!route || !service || !policy) {
    return [first, explainNoRoute(version)];
  }
  const {name, ...match} = route;
  const repeatable = match.repeatable ? 'repeatable' : 'not repeatable';
  return [
    first,
    `route    ${name}: ${match.method} ${match.path}, ${match.operationClass}, ${repeatable}`,
    `service  ${service.name}: ${service.slots} slots, ${service.connections} connections, in ${service.dataCentres.join(', ')}`,
    `policy   ${policy.name}: timeout ${policy.timeoutMs} ms, first byte ${policy.firstByteTimeoutMs} ms, queue ${policy.queueLength}, retries ${policy.maxRetries}, other data centres ${policy.allowOtherDataCentres ? 'yes' : 'no'}`,
    ...(workers.length > 0
      ? formatTable([
          ['WORKER', 'DATA CENTRE', 'USABLE', 'LOAD', 'REASON'],
          ...workers.map(workerRow),
        ])
      : ['no worker of the service is known; check the platform list of VMs']),
  ];
}

function explainNoRoute(version: number): string {
  return version === 0
    ? 'no version is active; see carobseam status'
    : 'no route matches; declare one, or check method and path';
}

function workerRow(worker: CallExplanation['workers'][number]): string[] {
  const {vmId, dataCentre, usable, load, reason = ''} = worker;
  const loadText = load
    ? `${load.running}/${load.slots}, ${load.queued} queued`
    : '-';
  return [vmId, dataCentre, usable ? 'yes' : 'no', loadText, reason];
}
