import {CarobseamError} from '@carobseam/core.errors';
import {readFileSync} from 'node:fs';
import type {CliOutput} from './cli_output.js';
import {exitCodes, type ExitCode} from './exit_code.js';
import {
  explainRequest,
  parseLogLine,
  type LogLine,
  type RequestExplanation,
} from './explain_request.js';

/** Options of `carobseam explain-request`. */
export interface ExplainRequestOptions {
  json?: boolean;
}

/**
 * `carobseam explain-request`; exit code 1 when no line names the request.
 *
 * @throws CarobseamError LOG_UNREADABLE.
 */
export function explainRequestCommand(
  id: string,
  files: readonly string[],
  options: ExplainRequestOptions,
  output: CliOutput,
): ExitCode {
  const explanation = explainRequest(id, files.flatMap(readLog));
  if (!explanation) {
    output.writeProgress(
      `no line of ${files.length} files names request ${id}; collect the logs of all relays, and note that lines beyond the bound are left out`,
    );
    return exitCodes.notFulfilled;
  }
  const lines = options.json
    ? [JSON.stringify(explanation)]
    : formatExplanation(id, explanation);
  lines.forEach(output.writeResult);
  return exitCodes.done;
}

function readLog(file: string): LogLine[] {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (cause) {
    throw new CarobseamError({
      code: 'LOG_UNREADABLE',
      message: `cannot read log file ${file}`,
      hint: 'name files with the standard output of relays',
      cause,
    });
  }
  return text.split('\n').flatMap(line => parseLogLine(line) ?? []);
}

function formatExplanation(
  id: string,
  explanation: RequestExplanation,
): string[] {
  const {lines, beliefs, cause, mayLackLines} = explanation;
  const sections = [`request ${id}: ${cause}`, ...lines.map(toText)];
  if (beliefs.length > 0) {
    sections.push('before its end these relays noted:', ...beliefs.map(toText));
  }
  if (mayLackLines) {
    sections.push(
      'these relays left out lines at the time (log_lines_dropped)',
    );
  }
  return sections;
}

function toText(line: LogLine): string {
  return `  ${line.text}`;
}
