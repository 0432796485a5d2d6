package document

// maxDistance is the largest edit distance between a mistyped name and a suggestion.
const maxDistance = 1

// Suggest returns the known name that is one edit away: a letter added, removed, replaced or swapped with the next.
func Suggest(name string, known []string) string {
	for _, k := range known {
		if distance(name, k) <= maxDistance {
			return k
		}
	}
	return ""
}

// distance returns the edit distance between two words (optimal string alignment).
func distance(a, b string) int {
	x, y := []rune(a), []rune(b)
	if max(len(x), len(y))-min(len(x), len(y)) > maxDistance {
		return maxDistance + 1
	}
	rows := make([][]int, len(x)+1)
	for i := range rows {
		rows[i] = make([]int, len(y)+1)
		rows[i][0] = i
	}
	for j := range rows[0] {
		rows[0][j] = j
	}
	for i := 1; i <= len(x); i++ {
		for j := 1; j <= len(y); j++ {
			rows[i][j] = minEdits(rows, x, y, i, j)
		}
	}
	return rows[len(x)][len(y)]
}

// minEdits returns the edit distance between the first i letters of x and the first j letters of y.
func minEdits(rows [][]int, x, y []rune, i, j int) int {
	cost := 1
	if x[i-1] == y[j-1] {
		cost = 0
	}
	least := min(rows[i-1][j]+1, rows[i][j-1]+1, rows[i-1][j-1]+cost)
	if i > 1 && j > 1 && x[i-1] == y[j-2] && x[i-2] == y[j-1] {
		least = min(least, rows[i-2][j-2]+1)
	}
	return least
}
