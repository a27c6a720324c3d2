import {readFileSync} from 'node:fs';
import path from 'node:path';

/** Bounds and engines of the sheet of the deployment `piato-ath`, with the names of the platform. */
export const sheet = JSON.parse(
	readFileSync(path.join(import.meta.dirname, 'sheet.json'), 'utf8'),
);
