const COLUMN_GAP = '  ';

/** Formats rows with aligned columns; the first row holds the titles. */
export function formatTable(rows: ReadonlyArray<readonly string[]>): string[] {
  const widths: number[] = [];
  for (const row of rows) {
    row.forEach((cell, column) => {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    });
  }
  return rows.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column]!))
      .join(COLUMN_GAP)
      .trimEnd(),
  );
}
