/** Where commands write their lines. */
export interface CliOutput {
  /** Results, on standard output. */
  writeResult: (line: string) => void;
  /** Progress, on standard error. */
  writeProgress: (line: string) => void;
}
